#include "decision/admission/overload_simulation.hpp"

#include <doctest/doctest.h>

#include <set>
#include <utility>
#include <vector>

using namespace mangofold::decision;
using namespace std::chrono_literals;
using mangofold::test::overload_simulation;
using request = overload_simulation::request;

namespace
{

stage_job job_of(urgency ranks, const std::string& account = {})
{
    stage_job result;
    result.urgency = ranks;
    result.account = account;
    return result;
}

double share(std::size_t part, std::size_t whole)
{
    return static_cast<double>(part) / static_cast<double>(whole);
}

/// The share of the requests that meet \a condition that were served.
template<typename Condition>
double served_share(const overload_simulation& simulation, Condition condition)
{
    const auto all = simulation.select(condition);
    const auto served = std::count_if(
        all.begin(), all.end(), [](const request* each) { return each->done; });
    return share(static_cast<std::size_t>(served), all.size());
}

bool is_on_time(const request& each)
{
    return each.done && overload_simulation::start + *each.done <= each.job.due;
}

} // namespace

// Load: twice the capacity for ten seconds. Guards against late requests that
// are kept for the case that the service idles until their deadline is near,
// when their callers can no longer return.
TEST_CASE("no late request is held until near its deadline")
{
    overload_simulation simulation;
    simulation.add(0s, 10s, 540, job_of({0, 0}), 2s, 6s);
    simulation.run(20s);
    const auto held = simulation.select(
        [](const request& each)
        {
            return each.expired ||
                   (each.rejected && *each.rejected - each.arrives > 3s);
        });
    CAPTURE(held.size());
    CHECK(held.empty());
}

// Load: the callers whom a burst at 1.5 times the capacity has rejected return
// once, when they were told to. Guards against callers who are rejected again
// although the burst is over for a second, and against a wave that makes fresh
// requests late.
TEST_CASE("rejected callers who return after a burst are served")
{
    overload_simulation simulation;
    const urgency urgent{0, 0};
    simulation.add(0s, 20s, 150, job_of(urgent), 2s, 6s);
    simulation.add(3s, 10s, 250, job_of(urgent), 2s, 6s);
    std::set<std::pair<duration, instant>> returned;
    for (duration until = 0s; until < 30s; until += 50ms)
    {
        simulation.run(until);
        const auto rejected = simulation.select(
            [&returned](const request& each)
            {
                return each.rejected && !each.job.is_returning &&
                       !returned.contains({each.arrives, each.job.due});
            });
        std::vector<request> retries;
        for (const request* each : rejected)
        {
            returned.insert({each->arrives, each->job.due});
            request retry{
                *each->rejected + each->retry_in, each->job, {}, {}, {}, {}};
            retry.arrives = std::max(retry.arrives, until);
            retry.job.is_returning = true;
            retries.push_back(retry);
        }
        simulation.requests.insert(simulation.requests.end(), retries.begin(),
                                   retries.end());
    }
    const auto returns_after_burst = [](const request& each)
    { return each.job.is_returning && each.arrives > 11s; };
    REQUIRE(simulation.select(returns_after_burst).size() > 50);
    CHECK(served_share(simulation, returns_after_burst) > 0.9);
    const auto fresh_after_burst = [](const request& each)
    { return !each.job.is_returning && each.arrives > 11s; };
    const auto fresh = simulation.select(fresh_after_burst);
    const auto in_time = simulation.select(
        [&](const request& each)
        { return fresh_after_burst(each) && is_on_time(each); });
    CHECK(share(in_time.size(), fresh.size()) > 0.95);
}
