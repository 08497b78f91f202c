#include "decision/source_polling.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace mangofold::decision::source_polling;
using namespace std::chrono_literals;

// The source's rate is shared by the fleet, and calls to it are paid for. Each
// of 68 entries watched by itself: a thousand calls in 50 s with no change.
TEST_CASE("calls of a fleet at rest hardly grow with it")
{
    const auto calls_a_second = [](std::size_t entries)
    {
        const double mean_s =
            std::chrono::duration<double>(watch_timeout(4s, entries, 0.5))
                .count();
        return static_cast<double>(entries) / mean_s;
    };
    CHECK(calls_a_second(68) < 8);
    CHECK(calls_a_second(68) / calls_a_second(8) < 2.5);
}

// A configuration is not in force in time at entries whose watches were cut
// without a word, all in one moment.
// 1. All watches began together, after the last change. 2. Each would end
// after the same time. 3. Nobody hears of the next change before that. Spread
// out, the first of them ends early, and its entry tells the others.
TEST_CASE("watches of many entries end at different times")
{
    CHECK(watch_timeout(4s, 68, 0) == 2s);
    CHECK(watch_timeout(4s, 68, 0.02) < 3s);
    CHECK(watch_timeout(4s, 68, 1) == 20s);
}

TEST_CASE("an entry that hears of no other watches within the bound")
{
    for (const double fraction : {0.0, 0.5, 1.0})
    {
        CHECK(watch_timeout(2s, 1, fraction) <= 2s);
        CHECK(watch_timeout(2s, 8, fraction) <= 2s);
    }
    CHECK(watch_timeout(100ms, 1, 1) == 300ms);
}

TEST_CASE("pauses leave several tries within the bound")
{
    CHECK(retry_delay(2s, 1, 0) == 25ms);
    CHECK(retry_delay(2s, 1, 1) == 75ms);
    CHECK(retry_delay(2s, 100, 1) <= 600ms);
    CHECK(retry_delay(4s, 100, 0.5) == 800ms);
    CHECK(retry_delay(0s, 100, 1) <= 100ms);
    CHECK(pause_after_changes(3s) == 500ms);
}
