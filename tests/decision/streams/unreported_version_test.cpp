#include "decision/streams/version_fleet.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;

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
