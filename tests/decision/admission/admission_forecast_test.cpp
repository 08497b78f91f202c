#include "decision/admission/admission_forecast.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const instant start{1h};

stage_job make_job(std::uint64_t number, duration due, duration expires)
{
    stage_job result;
    result.number = number;
    result.due = start + due;
    result.expires = start + expires;
    return result;
}

admission_candidate candidate_for(const stage_job& job)
{
    admission_candidate result;
    result.job = &job;
    result.pieces = job.pieces;
    return result;
}

/// One piece takes 100 ms of the service, and a call 200 ms.
const service_outlook own{0ms, 0ms, 100ms, 200ms, 1};

service_outlook no_outlook(const std::string& /*service*/)
{
    return {};
}

} // namespace

// Guards against starting requests without slack: each of a burst is in time if
// it were alone, so all are started, and all end late.
TEST_CASE("a job counts as late if those before it leave too little time")
{
    std::vector<stage_job> jobs;
    for (std::uint64_t number = 0; number < 10; ++number)
        jobs.push_back(make_job(number, 1s, 1h));
    std::vector<admission_candidate> found;
    for (const stage_job& job : jobs)
        found.push_back(candidate_for(job));
    admission_forecast(start, own, no_outlook).evaluate(found);
    // The seventh waits 600 ms, with its call and a fifth of all that 960 ms.
    for (std::size_t index = 0; index < found.size(); ++index)
        CHECK(found[index].is_late == (index > 6));
}

// Guards against a rejection at the last moment: the first stage has capacity,
// and what the request waits for is the third.
TEST_CASE("the waits of all later services count")
{
    stage_job job = make_job(1, 2s, 4s);
    job.downstream = {{"crop", 1}, {"rerank", 1}};
    const auto with_wait = [](duration wait)
    {
        return [wait](const std::string& service)
        {
            return service == "rerank"
                       ? service_outlook{wait, wait, 1ms, 200ms, 1}
                       : service_outlook{0ms, 0ms, 1ms, 200ms, 1};
        };
    };
    std::vector<admission_candidate> found{candidate_for(job)};
    admission_forecast(start, own, with_wait(1s)).evaluate(found);
    CHECK_FALSE(found[0].is_late);
    admission_forecast(start, own, with_wait(2s)).evaluate(found);
    CHECK(found[0].is_late);
    CHECK_FALSE(found[0].is_hopeless);
    admission_forecast(start, own, with_wait(4s)).evaluate(found);
    CHECK(found[0].is_hopeless);
}

// Guards against overload that is only seen once calls of a later service are
// full: each job waits for the ones before it there, too.
TEST_CASE("jobs before it count at later services as well")
{
    std::vector<stage_job> jobs;
    for (std::uint64_t number = 0; number < 10; ++number)
    {
        jobs.push_back(make_job(number, 1200ms, 1h));
        jobs.back().downstream = {{"rerank", 1}};
    }
    std::vector<admission_candidate> found;
    for (const stage_job& job : jobs)
        found.push_back(candidate_for(job));
    admission_forecast(start, {0ms, 0ms, 1ms, 200ms, 1},
                       [](const std::string&) {
                           return service_outlook{0ms, 0ms, 200ms, 200ms, 1};
                       })
        .evaluate(found);
    const auto late =
        std::count_if(found.begin(), found.end(),
                      [](const auto& candidate) { return candidate.is_late; });
    CHECK(late == 6);
}

TEST_CASE("more urgent jobs are considered first")
{
    stage_job urgent = make_job(1, 400ms, 1h);
    stage_job other = make_job(2, 300ms, 1h);
    other.urgency = {0, 1};
    std::vector<admission_candidate> found{candidate_for(other),
                                           candidate_for(urgent)};
    admission_forecast(start, own, no_outlook).evaluate(found);
    CHECK(found[0].is_late);
    CHECK_FALSE(found[1].is_late);
}

// Guards against late jobs that are kept although arrivals in time take all of
// the capacity: they would be rejected only when they expire.
TEST_CASE("late jobs get what arrivals in time leave")
{
    std::vector<stage_job> jobs;
    for (std::uint64_t number = 0; number < 10; ++number)
        jobs.push_back(make_job(number, 10ms, 2s));
    const auto hopeless_with = [&jobs](double spare_share)
    {
        std::vector<admission_candidate> found;
        for (const stage_job& job : jobs)
            found.push_back(candidate_for(job));
        service_outlook outlook = own;
        outlook.spare_share = spare_share;
        admission_forecast(start, outlook, no_outlook).evaluate(found);
        return std::count_if(found.begin(), found.end(),
                             [](const auto& candidate)
                             { return candidate.is_hopeless; });
    };
    CHECK(hopeless_with(1) == 0);
    CHECK(hopeless_with(0.5) == 2);
    CHECK(hopeless_with(0.01) == 9);
}

// Guards against a service that idles although requests wait: all late ones
// were rejected, and then nothing more arrived.
TEST_CASE("late jobs for about one call are kept in any case")
{
    std::vector<stage_job> jobs;
    for (std::uint64_t number = 0; number < 10; ++number)
        jobs.push_back(make_job(number, 10ms, 2s));
    std::vector<admission_candidate> found;
    for (const stage_job& job : jobs)
        found.push_back(candidate_for(job));
    service_outlook outlook = own;
    outlook.spare_share = 0.01;
    admission_forecast(start, outlook, no_outlook, 4).evaluate(found);
    CHECK(std::count_if(found.begin(), found.end(),
                        [](const auto& candidate)
                        { return candidate.is_hopeless; }) == 6);
}

// Guards against rejections without overload: the time that the caller allows
// is too short even for idle services.
TEST_CASE("a job that waits for nothing is not hopeless")
{
    const stage_job job = make_job(1, 100ms, 100ms);
    std::vector<admission_candidate> found{candidate_for(job)};
    admission_forecast(start, own, no_outlook).evaluate(found);
    CHECK(found[0].is_late);
    CHECK_FALSE(found[0].is_hopeless);
}

// Guards against a large account that crowds out small ones: its jobs are due
// first since it sends more.
TEST_CASE("accounts take turns while not all jobs can be in time")
{
    std::vector<stage_job> jobs;
    for (std::uint64_t number = 0; number < 10; ++number)
    {
        jobs.push_back(make_job(number, 1s, 1h));
        jobs.back().account = "large";
    }
    jobs.push_back(make_job(10, 1100ms, 1h));
    jobs.back().account = "small";
    std::vector<admission_candidate> found;
    for (const stage_job& job : jobs)
        found.push_back(candidate_for(job));
    admission_forecast(start, own, no_outlook).evaluate(found);
    CHECK_FALSE(found.back().is_late);
    CHECK(found.back().account_turn == 1);
    // While all are in time, the due times alone decide.
    found.erase(found.begin(), found.begin() + 6);
    admission_forecast(start, own, no_outlook).evaluate(found);
    for (const admission_candidate& candidate : found)
    {
        CHECK_FALSE(candidate.is_late);
        CHECK(candidate.account_turn == 0);
    }
}
