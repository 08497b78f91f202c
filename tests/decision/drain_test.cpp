#include "decision/drain.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr instant start{1h};
constexpr duration grace = 8s;
constexpr int required_replies = 2;
constexpr drain::request_duration long_request{2s, 3s};
constexpr drain::request_duration short_request{50ms, 200ms};

drain drain_noticed_after(duration time)
{
    drain draining(start, grace, required_replies);
    draining.note_unready_reply(start + time / 2);
    draining.note_unready_reply(start + time);
    return draining;
}

} // namespace

// Guards against refusing a caller that the load balancer then sends to the
// same entry again.
TEST_CASE("a stopping entry accepts requests until the balancer has noticed")
{
    drain draining(start, grace, required_replies);
    CHECK(draining.accepts(start + 1s, long_request, other_entries::most));
    draining.note_unready_reply(start + 1s);
    CHECK(draining.accepts(start + 1500ms, long_request, other_entries::most));
    draining.note_unready_reply(start + 1900ms);
    CHECK(draining.accepts(start + 2s, long_request, other_entries::most));
    CHECK_FALSE(
        draining.accepts(start + 2200ms, long_request, other_entries::most));
}

// Guards against waiting forever for a load balancer that sends no readiness
// checks.
TEST_CASE("a drain goes on without readiness checks after a time limit")
{
    const drain draining(start, grace, required_replies);
    CHECK(draining.accepts(start + 2400ms, long_request, other_entries::most));
    CHECK_FALSE(
        draining.accepts(start + 2500ms, long_request, other_entries::most));
    CHECK(draining.may_exit(start + 2500ms, true));
}

// Guards against refusing every request while all entries restart at once.
TEST_CASE("without other entries, a stopping entry accepts what it can finish")
{
    const drain draining = drain_noticed_after(1s);
    CHECK(draining.accepts(start + 4s, long_request, other_entries::few));
    CHECK_FALSE(
        draining.accepts(start + 4s, long_request, other_entries::most));
    CHECK_FALSE(draining.accepts(start + 5s, long_request, other_entries::few));
    CHECK(draining.accepts(start + 7s, short_request, other_entries::most));
    CHECK_FALSE(
        draining.accepts(start + 7600ms, short_request, other_entries::few));
    CHECK(draining.accepts(start + 2400ms, long_request, other_entries::few));
    CHECK_FALSE(
        draining.accepts(start + 2400ms, long_request, other_entries::most));
}

// Guards against callers whose last answers are never sent, as the event loop
// ran so late that the process had to end in the same turn.
TEST_CASE("a stopping entry exits a turn after its last answers")
{
    drain draining(start, grace, required_replies);
    draining.note_last_answers(start + 7900ms);
    CHECK_FALSE(draining.may_exit(start + 7900ms, false));
    draining.note_last_answers(start + 7950ms);
    CHECK(draining.may_exit(start + 7950ms, false));
}

// Guards against a request that was accepted since others were short, and is
// cut off by the exit.
TEST_CASE("a late request is accepted only if its deadline ends in time")
{
    const drain draining = drain_noticed_after(1s);
    constexpr drain::request_duration open_ended{50ms, 15s};
    CHECK(draining.accepts(start + 1100ms, open_ended, other_entries::few));
    CHECK(draining.accepts(start + 2400ms, open_ended, other_entries::few));
    CHECK_FALSE(
        draining.accepts(start + 2500ms, open_ended, other_entries::few));
    CHECK_FALSE(
        draining.accepts(start + 2400ms, open_ended, other_entries::most));
    CHECK(draining.accepts(start + 4500ms, long_request, other_entries::few));
    CHECK_FALSE(
        draining.accepts(start + 4501ms, long_request, other_entries::few));
    CHECK_FALSE(
        draining.accepts(start + 7400ms, short_request, other_entries::most));
}

// Guards against a fleet whose entries all have streams to finish when all
// stop, so that all end late and none takes a stream meanwhile.
TEST_CASE("long requests are left to a later half that takes everything")
{
    constexpr auto later_half = other_entries::later_half;
    const drain draining(start, grace, required_replies);
    CHECK_FALSE(draining.accepts(start, long_request, later_half));
    CHECK(draining.accepts(start, short_request, later_half));
    // A caller that returns has no try left.
    CHECK(draining.accepts(start + 2400ms, long_request, later_half, true));
    CHECK_FALSE(draining.accepts(start + 4s, long_request, later_half, true));
    CHECK(draining.accepts(start + drain::min_taking_time, long_request,
                           other_entries::few));
}

// Guards against an instance that stays out of service longer than its work
// takes.
TEST_CASE("a stopping entry exits once the balancer has noticed and it is idle")
{
    const drain draining = drain_noticed_after(1s);
    CHECK_FALSE(draining.may_exit(start + 1100ms, true));
    CHECK(draining.may_exit(start + 1200ms, true));
    CHECK_FALSE(draining.may_exit(start + 5s, false));
    CHECK(draining.may_exit(start + 7700ms, false));
}
