#include "world.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;

// Guards against a pause in which no entry takes a stream, into which refused
// callers return.
TEST_CASE("callers are served while all entries stop a tenth of a second apart")
{
    const roll plan{.entries = 6, .stopped = 6, .gap = 100ms};
    outcome_counts total;
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        const traffic load =
            random_traffic(seed, usual_routes, 6, 60, 300ms, 17s);
        stops_world world(plan, load, deadline_policy(),
                          until_share_is_back{0.5, 8500ms});
        world.run();
        for (const auto& [second, counts] : world.outcomes)
            total.add(counts);
    }
    CHECK(total.share(outcome::in_time) > 0.92);
    CHECK(total.share(outcome::refused) < 0.02);
    CHECK(total.share(outcome::cut) < 0.0005);
}
