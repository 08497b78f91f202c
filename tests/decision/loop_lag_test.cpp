#include "decision/loop_lag.hpp"

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

TEST_CASE("a loop without backlog has no lag")
{
    loop_lag loop(100ms);
    CHECK(loop.lag(at(5s)) == 0ms);
    for (duration now = 5s; now < 7s; now += 102ms)
        loop.note_timer_run(at(now));
    CHECK(loop.lag(at(6938ms)) <= 10ms);
}

// Covers a process that is suspended, or blocked by one handler, for two
// seconds.
TEST_CASE("the lag counts from the first event after a pause")
{
    loop_lag loop(100ms);
    loop.note_timer_run(at(1s));
    CHECK(loop.lag(at(3s)) == 1900ms);
    loop.note_timer_run(at(3s));
    CHECK(loop.lag(at(3s)) == 1900ms);
}

// Covers an overloaded loop where each turn takes half a second: a connection
// that was detected, accepted and read is three turns old.
TEST_CASE("the lag of an overloaded loop adds up over several turns")
{
    loop_lag loop(100ms);
    for (duration now{}; now <= 5s; now += 500ms)
        loop.note_timer_run(at(now));
    CHECK(loop.lag(at(5s)) == 1200ms);
}

TEST_CASE("a loop that has caught up has no lag")
{
    loop_lag loop(100ms);
    loop.note_timer_run(at(1s));
    for (duration now = 4s; now <= 5s; now += 100ms)
        loop.note_timer_run(at(now));
    CHECK(loop.lag(at(5s)) == 0ms);
}
