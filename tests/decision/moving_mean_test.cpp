#include "decision/moving_mean.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

TEST_CASE("a mean follows the newest durations")
{
    moving_mean one(150ms);
    CHECK(one.mean() == 150ms);
    for (int times = 0; times < 200; ++times)
        one.add(300ms);
    CHECK(one.mean() > 299ms);
    CHECK(one.above(1) < 310ms);
}

// Half of the requests of a route are read in 100 ms, half in 300 ms. Who
// counts on the mean is late with the second half.
TEST_CASE("one deviation above the mean covers what spreads evenly")
{
    moving_mean one(200ms);
    for (int times = 0; times < 200; ++times)
        one.add(times % 2 == 0 ? 100ms : 300ms);
    CHECK(one.mean() > 180ms);
    CHECK(one.mean() < 220ms);
    CHECK(one.above(1) > 280ms);
    CHECK(one.above(1) < 320ms);
}
