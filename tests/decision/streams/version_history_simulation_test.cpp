#include "decision/streams/version_fleet.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;

namespace
{

/// Most lags of the lists of entries.
constexpr duration lags[]{0ms, 500ms, 2s};

} // namespace

// Guards against streams that are joined from two versions: an order of
// releases, losses and returns after which entries take another version than
// the stream's for the only one. Refusals are few where that would be safe.
TEST_CASE("a stream is never taken up at another version than it began at")
{
    for (const bool are_keepers_lost : {false, true})
        for (const bool is_history_lost : {false, true})
            for (const duration lag : lags)
            {
                const tally all =
                    play({0, lag, are_keepers_lost, is_history_lost}, 150);
                CHECK(all.wrong == 0);
                CHECK(all.known > all.certain * 4 / 5);
            }
}

// Guards against the same at entries that stood still, or were cut off from the
// list or from all others, while a version joined.
TEST_CASE("an entry out of step takes up no stream at another version")
{
    for (const bool is_history_lost : {false, true})
        for (const duration lag : lags)
        {
            troubles given{0, lag, false, is_history_lost, true, true};
            given.are_entries_lost = false;
            const tally all = play(given, 300);
            CHECK(all.wrong == 0);
            CHECK(all.known > all.certain * 4 / 5);
        }
}

// Guards against an old list that is taken for the present one: another version
// joined, and a stream began at it, while the entry was out of step.
TEST_CASE("a list that is not up to date makes no version certain")
{
    for (const bool is_frozen : {false, true})
        for (const bool are_peers_cut : {false, true})
        {
            version_fleet simulated(1, {});
            simulated.run_for(20s);
            simulated.freeze(2, is_frozen);
            simulated.cut_list(2, true);
            simulated.cut_peers(2, are_peers_cut);
            simulated.list("v2");
            simulated.run_for(1s);
            CHECK(simulated.begin_stream("v2"));
            simulated.run_for(tick);
            simulated.freeze(2, false);
            const tally all = simulated.take_up_at(2);
            CHECK(all.streams == 1);
            CHECK(all.wrong == 0);
        }
}

// Guards against another entry's old list that is believed: its version was
// replaced before the entry that asks began to follow the list.
TEST_CASE("what an entry out of step answers is not believed")
{
    version_fleet simulated(1, {});
    simulated.run_for(20s);
    simulated.cut_list(2, true);
    simulated.cut_keepers(true);
    simulated.list("v2");
    simulated.run_for(1s);
    CHECK(simulated.begin_stream("v2"));
    simulated.kill_entry(0);
    simulated.kill_entry(1);
    simulated.unlist("v2");
    simulated.run_for(1s);
    simulated.start_entries();
    simulated.run_for(1s);
    const tally all = simulated.take_up_at(0);
    CHECK(all.streams == 1);
    CHECK(all.wrong == 0);
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

// Guards against a version that came after the last report before a loss of all
// entries, and was gone when they came back.
TEST_CASE("a version that nobody reported is not taken for another one")
{
    version_fleet simulated(1, {});
    simulated.run_for(20s);
    simulated.list("v2");
    simulated.cut_keepers(true);
    simulated.run_for(tick);
    CHECK(simulated.begin_stream("v2"));
    simulated.kill_entries();
    simulated.cut_keepers(false);
    simulated.unlist("v2");
    simulated.run_for(3s);
    simulated.start_entries();
    simulated.run_for(2s);
    const tally all = simulated.take_up();
    CHECK(all.streams == 1);
    CHECK(all.wrong == 0);
}

// Guards against the same where the entry at which the stream began goes on,
// out of reach of the record keepers.
TEST_CASE("a version that out of step entries use is not taken for another one")
{
    const tally all = play({0, 0ms, false, false, true, true}, 300);
    CHECK(all.wrong == 0);
}
