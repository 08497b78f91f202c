#include "decision/turn_lateness.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

instant at(duration since_start)
{
    return instant(since_start);
}

} // namespace

TEST_CASE("a loop that turns in time is not late")
{
    turn_lateness loop(100ms);
    CHECK(loop.late(at(5s)) == 0ms);
    for (duration now = 5s; now < 7s; now += 102ms)
        loop.note_turn(at(now));
    CHECK(loop.late(at(6938ms)) <= 10ms);
}

// A process is stopped for two seconds, or does one thing for that long.
TEST_CASE("a loop is late from the first thing that it does afterwards")
{
    turn_lateness loop(100ms);
    loop.note_turn(at(1s));
    CHECK(loop.late(at(3s)) == 1900ms);
    loop.note_turn(at(3s));
    CHECK(loop.late(at(3s)) == 1900ms);
}

// Each turn takes half a second, since more is to be done than there is time.
// A connection that is found, taken and read is three turns old.
TEST_CASE("a loop that is always behind counts several turns")
{
    turn_lateness loop(100ms);
    for (duration now{}; now <= 5s; now += 500ms)
        loop.note_turn(at(now));
    CHECK(loop.late(at(5s)) == 1200ms);
}

TEST_CASE("a loop that has caught up is not late any more")
{
    turn_lateness loop(100ms);
    loop.note_turn(at(1s));
    for (duration now = 4s; now <= 5s; now += 100ms)
        loop.note_turn(at(now));
    CHECK(loop.late(at(5s)) == 0ms);
}
