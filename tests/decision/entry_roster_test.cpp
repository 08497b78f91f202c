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

/// What a settled entry of a fleet of \a known says.
entry_roster::standing seen(double cores, bool is_stopping = false,
                            std::size_t known = 1)
{
    return {cores, is_stopping, true, known};
}

/// The same of one that has just started.
entry_roster::standing seen_young()
{
    return {1, false, false, 1};
}

entry_roster fleet(int own, int count, double cores = 1)
{
    entry_roster made(name(own), cores);
    for (int one = 0; one < count; ++one)
        if (one != own)
            made.note_answer(name(one), seen(cores), {});
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
        one.note_answer(name(small), seen(0.09), {});
    one.note_answer("large", seen(0.5), {});
    for (int service = 0; service < 50; ++service)
        CHECK(one.gatherer_of(std::to_string(service)) == "large");
    one.note_lost("large");
    CHECK(one.gatherer_of("rerank") != "large");
}

TEST_CASE("an entry that is about to end gathers nothing while another can")
{
    entry_roster one = fleet(0, 2);
    one.note_answer(name(1), seen(1, true), {});
    for (int service = 0; service < 20; ++service)
        CHECK(one.gatherer_of(std::to_string(service)) == name(0));
    one.set_stopping(instant(1h));
    // Where both stop they agree on one of them.
    entry_roster other = fleet(1, 2);
    other.note_answer(name(0), seen(1, true), {});
    other.set_stopping(instant(1h));
    CHECK(one.gatherer_of("rerank") == other.gatherer_of("rerank"));
    one.note_answer(name(1), seen(1), {});
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
        const auto watch = one.watch_of(name(other), false, {});
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
    CHECK(one.watch_of(one.gatherer_of("encode"), false, {}).interval >=
          1400 * 2ms);
    const std::string far =
        one.gatherer_of("encode") == name(1) ? name(2) : name(1);
    CHECK(one.watch_of(far, false, {}).interval >= 1400 * 20ms);
}

TEST_CASE("in time an entry tells of all the others")
{
    const entry_roster one = fleet(0, 40);
    random_source random(3);
    std::set<std::string> told;
    for (int round = 0; round < 60; ++round)
    {
        const auto some = one.some(40, random);
        CHECK(some.size() == 9);
        CHECK(some.front() == name(0));
        told.insert(some.begin(), some.end());
    }
    CHECK(told.size() == 40);
}

TEST_CASE("an entry that knows few is told of many at once")
{
    const entry_roster one = fleet(0, 40);
    random_source random(3);
    CHECK(one.some(3, random).size() == 40);
}

// After all entries were killed, requests are late or refused for four to six
// seconds, although the targets are idle at first.
// 1. All entries start within half a second. 2. Each knows itself and the few
// seeds that are up. 3. Each gathers for itself: targets refuse most calls as
// full, the rest hold a tenth of what they could. 4. What piled up meanwhile
// makes the next seconds late too.
TEST_CASE("entries that start together wait until nobody new is heard of")
{
    const instant start{};
    entry_roster one(name(0), 1);
    one.set_started({name(0), name(1), name(2)}, start);
    CHECK_FALSE(one.is_settled(start));
    CHECK_FALSE(one.is_settled(start + 550ms));
    one.note_answer(name(1), seen_young(), start + 460ms);
    CHECK_FALSE(one.is_settled(start + 550ms));
    one.note_answer(name(2), seen_young(), start + 560ms);
    CHECK_FALSE(one.is_settled(start + 650ms));
    CHECK(one.is_settled(start + 660ms));
}

// The last of them to start waits no longer than the first.
TEST_CASE("an entry that has heard all seeds waits for quiet only")
{
    const instant start{};
    entry_roster one(name(0), 1);
    one.set_started({name(1), name(2)}, start);
    one.note_answer(name(1), seen_young(), start + 10ms);
    CHECK_FALSE(one.is_settled(start + 300ms));
    one.note_answer(name(2), seen_young(), start + 20ms);
    CHECK_FALSE(one.is_settled(start + 110ms));
    CHECK(one.is_settled(start + 120ms));
}

// A fleet that never comes to rest must not hold stages back for ever.
TEST_CASE("an entry waits a second at most for the others")
{
    const instant start{};
    entry_roster one(name(0), 1);
    one.set_started({name(1)}, start);
    for (int other = 1; other < 30; ++other)
        one.note_answer(name(other), seen_young(), start + other * 50ms);
    CHECK_FALSE(one.is_settled(start + 900ms));
    CHECK(one.is_settled(start + 1s));
}

// In a rolling restart requests must not wait for nothing.
TEST_CASE("an entry that starts in a fleet waits until it knows most of it")
{
    const instant start{};
    entry_roster one(name(0), 1);
    one.set_started({name(1)}, start);
    one.note_answer(name(1), seen(1, false, 20), start + 5ms);
    CHECK_FALSE(one.is_settled(start + 5ms));
    for (int other = 2; other < 15; ++other)
        one.note_answer(name(other), seen(1, false, 20), start + 20ms);
    CHECK(one.is_settled(start + 20ms));
}

TEST_CASE("an entry that is alone waits for nobody")
{
    entry_roster one(name(0), 1);
    one.set_started({name(0)}, {});
    CHECK(one.is_settled({}));
}

// 1. All new entries tell the seeds of themselves. 2. Asked once a second, a
// seed told of the others a second later.
TEST_CASE("a new entry asks the seeds closely until it is settled")
{
    const instant start{};
    entry_roster one(name(0), 1);
    one.set_started({name(1)}, start);
    one.note_answer(name(1), seen_young(), start);
    one.note_answer(name(2), seen_young(), start);
    CHECK(one.watch_of(name(1), false, start).interval == 100ms);
    CHECK(one.watch_of(name(2), false, start).interval == 1s);
    CHECK(one.watch_of(name(1), false, start + 2s).interval == 1s);
}
