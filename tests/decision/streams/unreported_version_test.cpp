#include "decision/streams/version_fleet.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;

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

// Guards against a version that has left the list, at which an entry out of
// step still begins streams since its targets serve on.
TEST_CASE("a version that an entry out of step still uses is not forgotten")
{
    troubles given;
    given.serving_after_removal = 10s;
    version_fleet simulated(1, given);
    simulated.run_for(20s);
    simulated.list("v2");
    simulated.run_for(1s);
    simulated.cut_list(0, true);
    simulated.run_for(tick);
    simulated.unlist("v1");
    simulated.run_for(5s);
    CHECK(simulated.begin_stream("v1"));
    simulated.run_for(1s);
    const tally all = simulated.take_up_at(1);
    CHECK(all.streams == 1);
    CHECK(all.wrong == 0);
}
