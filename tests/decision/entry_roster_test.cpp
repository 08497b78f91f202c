#include "decision/entry_roster.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

std::string name(int number)
{
    return "10.0.0." + std::to_string(number) + ":1";
}

entry_roster fleet(int own, int count, double cores = 1)
{
    entry_roster made(name(own), cores);
    for (int one = 0; one < count; ++one)
        if (one != own)
            made.note_answer(name(one), cores, false);
    return made;
}

} // namespace

TEST_CASE("entries that see the same agree on who gathers")
{
    std::set<std::string> chosen;
    for (int one = 0; one < 6; ++one)
        chosen.insert(fleet(one, 6).gatherer_of("rerank"));
    CHECK(chosen.size() == 1);
}

TEST_CASE("only the loss of a gatherer moves its service")
{
    entry_roster one = fleet(0, 8);
    const std::string before = one.gatherer_of("rerank");
    for (int other = 1; other < 8; ++other)
        if (name(other) != before)
            one.note_lost(name(other));
    CHECK(one.gatherer_of("rerank") == before);
    one.note_lost(before);
    CHECK(one.gatherer_of("rerank") == name(0));
}

// A fleet has a few entries with half of a core and many with a tenth. A
// small one that gathers for all can't keep up, and every request that needs
// its service comes late, although the large ones are idle.
TEST_CASE("a small entry gathers only where no large one is left")
{
    entry_roster one(name(0), 0.09);
    for (int small = 1; small < 15; ++small)
        one.note_answer(name(small), 0.09, false);
    one.note_answer("large", 0.5, false);
    for (int service = 0; service < 50; ++service)
        CHECK(one.gatherer_of(std::to_string(service)) == "large");
    one.note_lost("large");
    CHECK(one.gatherer_of("rerank") != "large");
}

TEST_CASE("an entry that is about to end gathers nothing while another can")
{
    entry_roster one = fleet(0, 2);
    one.note_answer(name(1), 1, true);
    for (int service = 0; service < 20; ++service)
        CHECK(one.gatherer_of(std::to_string(service)) == name(0));
    one.set_stopping();
    CHECK(one.gatherer_of("rerank") == name(0));
    one.note_answer(name(1), 1, false);
    CHECK(one.gatherer_of("rerank") == name(1));
}

// A gatherer that dies holds pieces of many requests with an aim of a second
// or two: it must be missed soon. Asking everybody that often took a small
// entry of a fleet of 23 most of its processor time.
TEST_CASE("gatherers are watched closely, all others seldom")
{
    entry_roster one = fleet(0, 23);
    one.set_services({"encode", "rerank"});
    int close = 0;
    for (int other = 1; other < 23; ++other)
    {
        const auto watch = one.watch_of(name(other), false);
        const bool gathers = one.gatherer_of("encode") == name(other) ||
                             one.gatherer_of("rerank") == name(other);
        CHECK((watch.interval == 100ms) == gathers);
        CHECK(watch.silence >= watch.interval * 3);
        close += gathers ? 1 : 0;
    }
    CHECK(close <= 2);
}

TEST_CASE("the questions that an entry answers do not grow with the fleet")
{
    entry_roster one = fleet(0, 1400);
    one.set_services({"encode"});
    // 500 questions a second from all of them together.
    CHECK(one.watch_of(one.gatherer_of("encode"), false).interval >=
          1400 * 2ms);
    const std::string far =
        one.gatherer_of("encode") == name(1) ? name(2) : name(1);
    CHECK(one.watch_of(far, false).interval >= 1400 * 20ms);
}

TEST_CASE("in time an entry tells of all the others")
{
    const entry_roster one = fleet(0, 40);
    random_source random(3);
    std::set<std::string> told;
    for (int round = 0; round < 60; ++round)
    {
        const auto some = one.some(8, random);
        CHECK(some.size() == 9);
        CHECK(some.front() == name(0));
        told.insert(some.begin(), some.end());
    }
    CHECK(told.size() == 40);
}
