#include "decision/stages/target_pace.hpp"

#include "decision/stages/planner_support.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::decision;
using namespace mangofold::test;
using namespace std::chrono_literals;

TEST_CASE("what a target usually takes is learned within bounds")
{
    target_pace pace;
    CHECK(pace.expected(300ms, start) == 300ms);
    for (int call = 0; call < 100; ++call)
        pace.note_call(300ms, 450ms);
    CHECK(pace.expected(300ms, start) > 445ms);
    CHECK(pace.expected(300ms, start) <= 450ms);
    for (int call = 0; call < 500; ++call)
        pace.note_call(300ms, 1h);
    CHECK(pace.expected(300ms, start) == 1500ms);
    pace.note_call(0ms, 1s);
    pace.note_call(300ms, -1s);
    CHECK(pace.expected(300ms, start) == 1500ms);
}

TEST_CASE("a stated pace counts for calls that start soon, within bounds")
{
    target_pace pace;
    pace.note_load({1, 0, 1, 1.5}, 1, 300ms, start);
    CHECK(pace.expected(200ms, start + 100ms) == 250ms);
    CHECK(pace.expected(200ms, start + 101ms) == 200ms);
    pace.note_load({1, 0, 1, 20}, 1, 300ms, start);
    CHECK(pace.expected(200ms, start) == 400ms);
    pace.note_load({1, 0, 1, 0.1}, 1, 300ms, start);
    CHECK(pace.expected(200ms, start) == 150ms);
    pace.note_load({1, 0, 1, {}}, 1, 300ms, start);
    CHECK(pace.expected(200ms, start) == 200ms);
}

TEST_CASE("a target with work of another entry counts as occupied for a call")
{
    target_pace pace;
    pace.note_load({1, 0, 1, {}}, 1, 300ms, start);
    CHECK(pace.occupied_until() <= start);
    pace.note_load({1, 1, 1, {}}, 1, 300ms, start);
    CHECK(pace.occupied_until() == start + 300ms);
}

// Guards against a target that is last in order for ever since it states work
// that nobody sends: its calls do not wait for any.
TEST_CASE("a wrong statement of others' work is not believed twice")
{
    target_pace pace;
    pace.note_load({9, 0, 1, {}}, 1, 300ms, start);
    pace.note_call(300ms, 310ms);
    pace.note_load({9, 0, 1, {}}, 1, 300ms, start + 600ms);
    CHECK(pace.occupied_until() == start + 300ms);
    pace.note_load({1, 0, 1, {}}, 1, 300ms, start + 900ms);
    pace.note_load({9, 0, 1, {}}, 1, 300ms, start + 1200ms);
    CHECK(pace.occupied_until() == start + 1500ms);
}

// Guards against a target that gets no calls because of what it states.
TEST_CASE("a target that states nonsense is only ordered after others")
{
    call_planner planner = make_planner(2);
    planner.note_load("t0", {9999, 9999, 1, 20}, start);
    planner.add(make_job(1, 10, 600s));
    planner.add(make_job(2, 10, 600s));
    const auto first = planner.next_call(start);
    REQUIRE(first);
    CHECK(first->target.id == "t1");
    const auto second = planner.next_call(start);
    REQUIRE(second);
    CHECK(second->target.id == "t0");
}

TEST_CASE("what was learned about a target is forgotten when it restarts")
{
    call_planner planner = make_planner(0);
    planner.set_targets({{{"t0", 1}, "a"}, {{"t1", 1}, "a"}});
    planner.note_load({"t0", 1}, {5, 5, 1, 5}, start);
    planner.set_targets({{{"t0", 2}, "a"}, {{"t1", 1}, "a"}});
    planner.add(make_job(1, 10, 600s));
    CHECK(planner.next_call(start)->target.id == "t0");
}

// Guards against calls with pieces that nobody waits for any more.
TEST_CASE("a job that nobody wants is in no call")
{
    call_planner planner = make_planner(1);
    planner.add(make_job(1, 10, 600s));
    planner.add(make_job(2, 10, 601s));
    downstream_estimates downstream;
    downstream.is_wanted = [](const stage_job& job) { return job.number != 1; };
    const auto call = planner.next_call(start, downstream);
    REQUIRE(call);
    CHECK(jobs_of(*call) == std::vector<std::uint64_t>{2});
}
