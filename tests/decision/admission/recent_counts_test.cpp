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
