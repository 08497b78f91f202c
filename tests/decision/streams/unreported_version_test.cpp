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
