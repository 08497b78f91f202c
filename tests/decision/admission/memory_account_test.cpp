#include "decision/admission/memory_account.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

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

// Guards against a process that exceeds its memory since each answer may have
// an assured part, however many there are.
TEST_CASE("the assured parts of many answers are bounded together")
{
    memory_account account(process_bytes);
    account.request({0, 0}, 12 * megabyte, [](bool) {});
    constexpr std::size_t assured = megabyte / 4;
    int granted = 0;
    for (int answer = 0; answer < 1000; ++answer)
        granted += account.resize_answer(0, assured, 0, 0) ? 1 : 0;
    CHECK(granted >= 16);
    CHECK(account.taken() <= process_bytes * 3 / 4);
    CHECK(account.resize_answer(assured, 0, 0, 0));
    CHECK(account.resize_answer(0, assured, 0, 0));
}

// Guards against a sum over all readers that exceeds the memory of the process,
// in whatever order bodies come, grow and go.
TEST_CASE("what all readers take together stays within the process's memory")
{
    for (unsigned seed = 1; seed <= 200; ++seed)
    {
        CAPTURE(seed);
        std::mt19937 random(seed);
        memory_account account(process_bytes);
        struct answer
        {
            std::size_t assured = 0;
            std::size_t own = 0;
        };
        std::vector<answer> answers(200);
        for (std::size_t number = 0; number < answers.size(); ++number)
            answers[number].assured =
                number == 0 ? megabyte : megabyte / 4; // The source's.
        std::vector<std::size_t> bodies;
        for (int step = 0; step < 2000; ++step)
        {
            const std::size_t bytes = random() % (4 * megabyte);
            answer& changed = answers[random() % answers.size()];
            const auto beyond = [&changed](std::size_t size)
            { return size - std::min(size, changed.assured); };
            switch (random() % 5)
            {
            case 0:
                account.request({0, static_cast<std::uint32_t>(step)}, bytes,
                                [&bodies, bytes](bool is_granted)
                                {
                                    if (is_granted)
                                        bodies.push_back(bytes);
                                });
                break;
            case 1:
                if (!bodies.empty())
                {
                    const std::size_t ended = bodies.back();
                    bodies.pop_back();
                    account.give_back(ended);
                }
                break;
            case 2:
                account.resize_answer(changed.own, 0, beyond(changed.own), 0);
                changed.own = 0;
                break;
            default:
                if (account.resize_answer(changed.own, changed.own + bytes,
                                          beyond(changed.own),
                                          beyond(changed.own + bytes)))
                    changed.own += bytes;
            }
            const std::size_t waiting =
                account.waiting() * memory_account::bytes_per_waiting;
            REQUIRE(account.taken() <= account.max_taken());
            REQUIRE(account.taken() + waiting <= process_bytes * 9 / 10);
        }
        account.drop_waiting();
    }
}
