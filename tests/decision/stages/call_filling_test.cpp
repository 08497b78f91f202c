#include "decision/stages/call_filling.hpp"

#include "decision/stages/planner_support.hpp"

#include <doctest/doctest.h>

#include <random>

using namespace mangofold;
using namespace mangofold::decision;
using namespace mangofold::test;
using namespace std::chrono_literals;

namespace
{

using positions = std::vector<std::size_t>;

std::vector<fillable_job> jobs_with(std::vector<std::uint32_t> pieces)
{
    std::vector<fillable_job> jobs;
    for (const std::uint32_t count : pieces)
        jobs.push_back({count, false, 0});
    return jobs;
}

std::size_t pieces_of(const std::vector<fillable_job>& jobs,
                      const positions& chosen)
{
    std::size_t sum = 0;
    for (const std::size_t position : chosen)
        sum += jobs[position].pieces;
    return sum;
}

} // namespace

// Guards against calls that leave a third of their space empty although jobs
// that fill them wait: in order, 10 + 10 of 28 pieces.
TEST_CASE("a call is filled with the jobs that fit best")
{
    const auto jobs = jobs_with({10, 10, 9, 9, 12});
    CHECK(fill_call(jobs, 28).chosen == positions{0, 2, 3});
    CHECK(fill_call(jobs, 28).passed_over == positions{1});
    CHECK(fill_call({}, 28).chosen.empty());
}

TEST_CASE("of equally full calls the one with the earlier jobs is chosen")
{
    const auto filling = fill_call(jobs_with({4, 6, 6, 3, 3}), 10);
    CHECK(filling.chosen == positions{0, 1});
    CHECK(filling.passed_over.empty());
}

// Guards against a job that waits for as long as smaller ones arrive.
TEST_CASE("a job is passed over at most once")
{
    auto jobs = jobs_with({10, 10, 9, 9});
    jobs[1].was_passed_over = true;
    CHECK(fill_call(jobs, 28).chosen == positions{0, 1});
}

// Guards against requests in time that become late for late ones that fill a
// call better.
TEST_CASE("a job of a later group takes no place of an earlier group")
{
    auto jobs = jobs_with({10, 10, 9, 9, 8});
    for (const std::size_t position : {2, 3, 4})
        jobs[position].group = 1;
    CHECK(fill_call(jobs, 28).chosen == positions{0, 1, 4});
}

TEST_CASE("a job larger than a call leaves no space")
{
    CHECK(fill_call(jobs_with({40, 3}), 28).chosen == positions{0});
}

TEST_CASE("the first job is always chosen, and no call is overfull")
{
    std::mt19937 random(7);
    std::uniform_int_distribution<std::uint32_t> pieces(1, 14);
    std::uniform_int_distribution<std::uint32_t> count(1, 40);
    for (int round = 0; round < 500; ++round)
    {
        std::vector<fillable_job> jobs(count(random));
        for (fillable_job& job : jobs)
            job = {pieces(random), pieces(random) < 4, 0};
        const auto chosen = fill_call(jobs, 28).chosen;
        REQUIRE_FALSE(chosen.empty());
        CHECK(chosen.front() == 0);
        CHECK(pieces_of(jobs, chosen) <= 28);
        CHECK(std::adjacent_find(chosen.begin(), chosen.end(),
                                 std::greater_equal<>()) == chosen.end());
    }
}

namespace
{

/// Returns the pieces per call in a backlog of jobs of 6 to 12 pieces before
/// calls of 28. With \a is_ordered each job is a group of its own.
double pieces_per_call(bool is_ordered)
{
    std::mt19937 random(7);
    std::uniform_int_distribution<std::uint32_t> pieces(6, 12);
    std::vector<fillable_job> jobs;
    std::uint32_t group = 0;
    std::size_t sum = 0;
    constexpr int calls = 300;
    for (int call = 0; call < calls; ++call)
    {
        while (jobs.size() < 12)
            jobs.push_back({pieces(random), false, is_ordered ? ++group : 0});
        const call_filling filling = fill_call(jobs, 28);
        sum += pieces_of(jobs, filling.chosen);
        for (const std::size_t position : filling.passed_over)
            jobs[position].was_passed_over = true;
        for (auto at = filling.chosen.rbegin(); at != filling.chosen.rend();
             ++at)
            jobs.erase(jobs.begin() + static_cast<std::ptrdiff_t>(*at));
    }
    return static_cast<double>(sum) / calls;
}

} // namespace

// Load: a backlog of jobs of several sizes.
TEST_CASE("in a backlog nearly all calls are full")
{
    const double filled = pieces_per_call(false);
    const double ordered = pieces_per_call(true);
    CAPTURE(filled);
    CAPTURE(ordered);
    CHECK(filled > 27.5);
    CHECK(filled > ordered + 1.5);
}

// The planner passes a job over once and then keeps it.
TEST_CASE("the planner fills calls and delays no job by more than one call")
{
    call_planner planner = make_planner(1);
    planner.add(make_job(1, 4, 600s));
    planner.add(make_job(2, 5, 601s));
    planner.add(make_job(3, 6, 602s));
    planner.add(make_job(4, 6, 603s));
    planner.add(make_job(5, 4, 604s));
    const auto first = planner.next_call(start);
    REQUIRE(first);
    CHECK(jobs_of(*first) == std::vector<std::uint64_t>{1, 3});
    answer(planner, *first, 300ms, start + 300ms);
    planner.add(make_job(6, 4, 500s));
    // Job 6 is due first, and 6 + 4 pieces would fill the call.
    const auto second = planner.next_call(start + 300ms);
    REQUIRE(second);
    CHECK(jobs_of(*second) == std::vector<std::uint64_t>{2, 6});
}
