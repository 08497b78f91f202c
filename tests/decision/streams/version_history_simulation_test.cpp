#include "decision/streams/version_fleet.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;

namespace
{

tally play(const troubles& given, std::uint64_t seeds)
{
    tally all;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        version_fleet simulated(seed, given);
        simulated.run_for(20s);
        for (int round = 0; round < 60; ++round)
        {
            simulated.disturb_for(1s);
            all += simulated.take_up();
        }
    }
    CAPTURE(all.wrong);
    CAPTURE(all.known);
    CAPTURE(all.certain);
    return all;
}

} // namespace

// Guards against streams that are joined from two versions: an order of
// releases, losses and returns after which entries take another version than
// the stream's for the only one. Refusals are few where that would be safe.
TEST_CASE("a stream is never taken up at another version than it began at")
{
    for (const bool are_keepers_lost : {false, true})
        for (const bool is_history_lost : {false, true})
            for (const duration lag : {0ms, 500ms})
            {
                const tally all =
                    play({0, lag, are_keepers_lost, is_history_lost}, 150);
                CHECK(all.wrong == 0);
                CHECK(all.known > all.certain * 4 / 5);
            }
}

// Guards against a version that had targets before, whose return the record
// keepers are not told of before all entries are lost.
TEST_CASE("a version that comes back is not taken for another one")
{
    for (duration phase{}; phase <= 1s; phase += tick)
    {
        version_fleet simulated(1, {});
        simulated.run_for(20s);
        simulated.list("v2");
        simulated.unlist("v1");
        simulated.run_for(30s + phase);
        simulated.list("v1");
        simulated.run_for(tick);
        CHECK(simulated.begin_stream("v1"));
        simulated.kill_entries();
        simulated.unlist("v1");
        simulated.run_for(3s);
        simulated.start_entries();
        simulated.run_for(2s);
        const tally all = simulated.take_up();
        CHECK(all.streams == 1);
        CHECK(all.wrong == 0);
    }
}
