#include "decision/stages/call_throughput.hpp"

#include "decision/stages/planner_support.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::decision;
using namespace mangofold::test;
using namespace std::chrono_literals;

TEST_CASE("the declared figures hold before ten calls were measured")
{
    call_throughput throughput;
    for (int call = 0; call < 9; ++call)
        throughput.note_call(6);
    throughput.note_pause(100ms);
    CHECK(throughput.pieces_per_call(10) == 10);
    CHECK(throughput.pause() == 0ms);
    throughput.note_call(6);
    CHECK(throughput.pieces_per_call(10) == doctest::Approx(6));
    CHECK(throughput.pause() == 5ms);
}

TEST_CASE("the measured pieces per call stay within what a call can hold")
{
    call_throughput throughput;
    for (int call = 0; call < 20; ++call)
        throughput.note_call(40);
    CHECK(throughput.pieces_per_call(10) == 10);
    CHECK(throughput.pieces_per_call(0) == 1);
}

namespace
{

/// Makes calls at one target with jobs of six pieces, two always waiting, and
/// \a pause between the calls.
call_planner planner_with_backlog(duration pause)
{
    call_planner planner = make_planner(1);
    instant now = start;
    std::uint64_t number = 0;
    planner.add(make_job(++number, 6, 600s));
    planner.add(make_job(++number, 6, 600s));
    for (int call = 0; call < 200; ++call)
    {
        planner.add(make_job(++number, 6, 600s));
        const auto plan = planner.next_call(now);
        REQUIRE(plan);
        planner.next_call(now);
        now += 260ms;
        answer(planner, *plan, 260ms, now);
        now += pause;
    }
    return planner;
}

} // namespace

// Guards against requests that start although they will miss their objective:
// two jobs of six pieces don't fit one call of ten, so a backlog takes 1.6
// times as long as full calls would need. Load: a steady backlog of equal jobs.
TEST_CASE("the time per piece counts calls that are not full")
{
    const call_planner planner = planner_with_backlog(0ms);
    constexpr duration expected = 260ms / 6;
    CHECK(planner.time_per_piece(start) > expected - 1ms);
    CHECK(planner.time_per_piece(start) < expected + 1ms);
}

// Guards against the same where the targets pause between calls, for example
// for lack of memory. Load: a steady backlog.
TEST_CASE("the time per piece counts the pauses between calls")
{
    const call_planner planner = planner_with_backlog(60ms);
    constexpr duration expected = 320ms / 6;
    CHECK(planner.time_per_piece(start) > expected - 1ms);
    CHECK(planner.time_per_piece(start) < expected + 1ms);
}

// Guards against an overestimate that rejects requests: calls that are small
// because few pieces wait say nothing about the throughput, nor does the time
// in which a target has nothing to do. Load: single jobs, far apart.
TEST_CASE("without a backlog the declared figures hold")
{
    call_planner planner = make_planner(1);
    instant now = start;
    for (std::uint64_t number = 1; number <= 50; ++number)
    {
        planner.add(make_job(number, 2, 600s));
        const auto plan = planner.next_call(now);
        REQUIRE(plan);
        CHECK_FALSE(planner.next_call(now));
        answer(planner, *plan, 220ms, now + 220ms);
        CHECK_FALSE(planner.next_call(now + 220ms));
        now += 2s;
    }
    CHECK(planner.time_per_piece(now) == 30ms);
}

// Guards against a rate that counts what the planner holds back on purpose:
// requests that wait for their next stage leave this service idle.
TEST_CASE("jobs that may not start do not count as a backlog")
{
    call_planner planner = make_planner(1);
    downstream_estimates downstream;
    downstream.may_start = [](const stage_job& job, duration, bool)
    { return job.pieces < 3; };
    planner.add(make_job(1, 6, 600s));
    instant now = start;
    for (std::uint64_t number = 2; number <= 50; ++number)
    {
        planner.add(make_job(number, 2, 600s));
        const auto plan = planner.next_call(now, downstream);
        REQUIRE(plan);
        answer(planner, *plan, 220ms, now + 220ms);
        CHECK_FALSE(planner.next_call(now + 220ms, downstream));
        now += 1s;
    }
    CHECK(planner.time_per_piece(now) == 30ms);
}
