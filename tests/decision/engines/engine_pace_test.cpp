#include "decision/engines/engine_pace.hpp"

#include "decision/engines/engine_fleet_simulation.hpp"

#include <cmath>

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace mangofold;
using namespace std::chrono_literals;

namespace
{

constexpr instant start{1h};

/// Notes a first event of \a engine after \a took for a prompt of 4,000 tokens.
void add_sample(engine_pace& paces, const target_incarnation& engine,
                duration took, instant now)
{
    const auto awaited = paces.note_sent("s", engine, 4000, now - took);
    paces.note_first_event(engine, awaited, took, now);
}

} // namespace

// Guards against an engine that is known to be slow for good: a restarted
// machine or an ended slow period would never show, as the engine gets nothing.
TEST_CASE("the pace of an engine decays to the average within a minute")
{
    engine_pace paces;
    instant now = start;
    for (int sample = 0; sample < 20; ++sample, now += 100ms)
    {
        add_sample(paces, "slow", 480ms, now);
        add_sample(paces, "fast", 160ms, now);
    }
    CHECK(paces.pace("slow", now) > 2 * paces.pace("fast", now));
    CHECK(paces.range(now).second == paces.pace("slow", now));
    CHECK(paces.pace("slow", now + 60s) < 1.1);
    CHECK(paces.pace("fast", now + 60s) > 0.9);
}

// Load: an engine slows down for 600 ms. Guards against all requests that
// arrive in this time still going there, since no event has shown it yet.
TEST_CASE("an engine counts as slow while a first event is overdue")
{
    engine_pace paces;
    for (int sample = 0; sample < 20; ++sample)
        add_sample(paces, "e", 170ms, start);
    const auto awaited = paces.note_sent("s", "e", 4000, start);
    CHECK(paces.pace("e", start + 170ms) < 1.3);
    CHECK(paces.pace("e", start + 400ms) > 2);
    paces.note_first_event("e", awaited, 600ms, start + 600ms);
    CHECK(paces.pace("e", start + 601ms) < 1.5);
}

// Guards against an engine that counts as slow for ever, since a request to it
// was given up before its first event.
TEST_CASE("a first event that is no longer awaited is not overdue")
{
    engine_pace paces;
    const auto awaited = paces.note_sent("s", "e", 4000, start);
    paces.note_abandoned("e", awaited);
    CHECK(paces.pace("e", start + 10s) == 1);
}

// Guards against a malformed pace in a message of another entry.
TEST_CASE("a reported pace outside of the bounds is ignored")
{
    engine_pace paces;
    for (const double pace : {0.0, -1.0, 6.0, std::nan("")})
        paces.note_reported("e", pace, start);
    CHECK(paces.pace("e", start) == 1);
    paces.note_reported("e", 3, start);
    CHECK(paces.pace("e", start) == doctest::Approx(3));
}

// Load: engines three to one in speed, a steady stream of requests. Guards
// against the slow engines getting as many requests as the others, with a
// queue at each of them.
TEST_CASE("slow engines get fewer generations")
{
    test::engine_fleet_simulation::options options;
    options.entries = 4;
    for (int index = 0; index < 20; ++index)
        options.paces.push_back(index % 2 == 0 ? 0.6 : 1.8);
    const auto slow_time = [&options](bool reports_first_events)
    {
        options.reports_first_events = reports_first_events;
        test::engine_fleet_simulation fleet(options);
        fleet.advance(5s);
        fleet.reset_statistics();
        fleet.advance(10s);
        return fleet.first_event_time(0.9);
    };
    const duration without = slow_time(false);
    const duration with = slow_time(true);
    CAPTURE(without.count() / 1000000);
    CAPTURE(with.count() / 1000000);
    CHECK(with < without * 3 / 4);
}
