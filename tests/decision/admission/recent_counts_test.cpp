#include "decision/admission/recent_counts.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace mangofold::decision;
using namespace std::chrono_literals;

TEST_CASE("recent events are summed by key and forgotten after the window")
{
    recent_counts<std::string> counts(1s);
    const instant start{1h};
    counts.add("a", 2, start);
    counts.add("a", 3, start + 500ms);
    counts.add("b", 1, start + 500ms);
    CHECK(counts.sum("a", start + 900ms) == 5);
    CHECK(counts.sum("a", start + 1100ms) == 3);
    CHECK(counts.sums(start + 1100ms).size() == 2);
    CHECK(counts.sum("a", start + 1h) == 0);
    CHECK(counts.sums(start + 1h).empty());
}

// Guards against a share of a service that seems to be left although arrivals
// take all of it: the newest step is not over, and the window was too short.
TEST_CASE("the sum of a constant rate does not depend on the moment")
{
    recent_counts<int> counts(1s);
    const instant start{1h};
    for (int event = 0; event < 2000; ++event)
        counts.add(1, 1, start + event * 1ms);
    for (const auto later : {1000ms, 1030ms, 1077ms, 1099ms})
    {
        recent_counts<int> until(1s);
        for (int event = 0; event < later / 1ms; ++event)
            until.add(1, 1, start + event * 1ms);
        CHECK(until.sum(1, start + later) == doctest::Approx(1000));
    }
    CHECK(counts.sum(1, start + 2s) == doctest::Approx(1000));
}
