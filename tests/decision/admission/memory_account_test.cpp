#include "decision/admission/memory_account.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace mangofold::decision;

namespace
{

constexpr std::size_t megabyte = 1'000'000;
// Of 24 MB 16 are for bodies, and 12 of these for requests.
constexpr std::size_t process_bytes = 24 * megabyte;

memory_account::decision_handler append_to(std::string& log, char name)
{
    return [&log, name](bool is_granted)
    {
        log += name;
        log += is_granted ? '+' : '-';
    };
}

} // namespace

// Guards against less urgent bodies that get memory before more urgent ones.
TEST_CASE("waiting bodies get memory by urgency, then by length")
{
    memory_account account(process_bytes);
    std::string log;
    account.request({0, 0}, 12 * megabyte, append_to(log, 'a'));
    account.request({1, 0}, megabyte, append_to(log, 'b'));
    account.request({0, 1}, 3 * megabyte, append_to(log, 'c'));
    account.request({0, 1}, 2 * megabyte, append_to(log, 'd'));
    CHECK(account.waiting() == 3);
    account.give_back(5 * megabyte);
    CHECK(log == "a+d+c+");
    account.give_back(megabyte / 2);
    account.request({2, 0}, megabyte / 2, append_to(log, 'e'));
    CHECK(log == "a+d+c+");
    account.give_back(megabyte / 2);
    CHECK(log == "a+d+c+b+");
}

// Guards against bodies that wait without end in the buffers of connections.
TEST_CASE("of too many waiting bodies the least urgent is refused")
{
    memory_account account(process_bytes);
    std::string log;
    account.request({0, 0}, 12 * megabyte, append_to(log, 'a'));
    account.request({2, 0}, megabyte, append_to(log, 'z'));
    for (int number = 0; number < 100; ++number)
        account.request({1, 0}, megabyte, [](bool) {});
    CHECK(log == "a+z-");
    account.request({0, 0}, 13 * megabyte, append_to(log, 'b'));
    CHECK(log == "a+z-b-");
}

// Guards against requests that leave no room for the answers to those that run.
TEST_CASE("answers have memory that requests can't take")
{
    memory_account account(process_bytes);
    account.request({0, 0}, 12 * megabyte, [](bool) {});
    CHECK(account.resize_answer(0, 4 * megabyte, 0, 4 * megabyte));
    CHECK(!account.resize_answer(0, megabyte, 0, megabyte));
    CHECK(account.resize_answer(0, megabyte, 0, 0));
    CHECK(!account.grow_request(1));
}
