#include "decision/engines/engine_fleet_simulation.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace std::chrono_literals;

namespace
{

std::size_t most_at_one_engine(bool has_scheduler)
{
    test::engine_fleet_simulation::options options;
    options.entries = 31;
    options.paces.assign(40, 1.0);
    options.has_scheduler = has_scheduler;
    test::engine_fleet_simulation fleet(options);
    fleet.start_at_once(31);
    const auto& sent = fleet.sent_to();
    return *std::max_element(sent.begin(), sent.end());
}

/// Runs 31 entries and engines that are three to one in speed.
test::engine_fleet_simulation run_uneven_fleet(bool has_scheduler)
{
    test::engine_fleet_simulation::options options;
    options.entries = 31;
    options.per_second = 160;
    options.has_scheduler = has_scheduler;
    for (int index = 0; index < 24; ++index)
        options.paces.push_back(index % 2 == 0 ? 0.6 : 1.8);
    test::engine_fleet_simulation fleet(options);
    fleet.advance(5s);
    fleet.reset_statistics();
    fleet.advance(20s);
    return fleet;
}

} // namespace

// Load: 31 entries choose at the same moment. Guards against all of them
// choosing the one engine that is free by everybody's records.
TEST_CASE("generations that start at once are spread by a scheduler")
{
    CHECK(most_at_one_engine(false) > 10);
    CHECK(most_at_one_engine(true) <= 2);
}

// Load: engines three to one in speed. Guards against requests that wait behind
// those of other entries at a slow engine: one entry in 31 sees too few
// generations to know the engines.
TEST_CASE("a scheduler shortens the time to the first event")
{
    auto alone = run_uneven_fleet(false);
    auto scheduled = run_uneven_fleet(true);
    const decision::duration without = alone.first_event_time(0.9);
    const decision::duration with = scheduled.first_event_time(0.9);
    CAPTURE(without.count() / 1000000);
    CAPTURE(with.count() / 1000000);
    CHECK(with < without * 2 / 3);
    // Shared segments must not be read at more engines for that.
    CAPTURE(alone.shared_reads());
    CAPTURE(scheduled.shared_reads());
    CHECK(scheduled.shared_reads() <= alone.shared_reads());
}

// Load: each engine is slow for 600 ms now and then, 15 % of the time. Guards
// against requests that wait at a slow engine while others are free.
TEST_CASE("slow periods of engines delay few generations")
{
    const auto late_time = [](bool has_scheduler)
    {
        test::engine_fleet_simulation::options options;
        options.entries = 31;
        options.per_second = 160;
        options.has_scheduler = has_scheduler;
        options.slow_share = 0.15;
        options.paces.assign(24, 1.0);
        test::engine_fleet_simulation fleet(options);
        fleet.advance(5s);
        fleet.reset_statistics();
        fleet.advance(20s);
        return fleet.first_event_time(0.99);
    };
    const decision::duration without = late_time(false);
    const decision::duration with = late_time(true);
    CAPTURE(without.count() / 1000000);
    CAPTURE(with.count() / 1000000);
    CHECK(with < without * 2 / 3);
}
