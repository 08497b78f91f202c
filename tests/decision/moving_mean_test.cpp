#include "decision/moving_mean.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

TEST_CASE("the moving mean follows the newest durations")
{
    moving_mean average(150ms);
    CHECK(average.mean() == 150ms);
    for (int count = 0; count < 200; ++count)
        average.add(300ms);
    CHECK(average.mean() > 299ms);
    CHECK(average.mean_plus(1) < 310ms);
}

// Guards against estimates from the mean alone: if half of the requests take
// 100 ms and half take 300 ms, the mean is too short for the second half.
TEST_CASE("one deviation above the mean covers two equally common durations")
{
    moving_mean average(200ms);
    for (int count = 0; count < 200; ++count)
        average.add(count % 2 == 0 ? 100ms : 300ms);
    CHECK(average.mean() > 180ms);
    CHECK(average.mean() < 220ms);
    CHECK(average.mean_plus(1) > 280ms);
    CHECK(average.mean_plus(1) < 320ms);
}
