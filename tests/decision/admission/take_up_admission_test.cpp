#include "decision/admission/admission_forecast.hpp"
#include "overload_simulation.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;
using mangofold::test::overload_simulation;
using request = overload_simulation::request;

namespace
{

stage_job job_of(std::uint32_t rank, const std::string& account,
                 bool continues_stream = false)
{
    stage_job result;
    result.urgency = {0, rank};
    result.account = account;
    result.continues_stream = continues_stream;
    return result;
}

/// Requests of three ranks arrive for four seconds after a loss of all entries,
/// more than there is capacity for, those of the two urgent ranks at
/// \a urgent_per_second each. Callers of the least urgent rank return 1.5 s
/// after it to take up their streams, if \a have_streams is set.
overload_simulation return_after_loss(bool have_streams,
                                      double urgent_per_second)
{
    overload_simulation simulation;
    if (have_streams)
        simulation.add(1500ms, 1700ms, 200, job_of(2, "club", true), 2s, 7s);
    simulation.add(0s, 4s, urgent_per_second, job_of(0, "club"), 2s, 6s);
    simulation.add(0s, 4s, urgent_per_second, job_of(1, "club"), 2s, 6s);
    simulation.add(0s, 4s, 150, job_of(2, "club"), 2s, 7s);
    simulation.add(0s, 4s, 40, job_of(2, "team"), 2s, 7s);
    simulation.run(12s);
    return simulation;
}

double served_share(const overload_simulation& simulation, std::uint32_t rank,
                    bool continues_stream)
{
    const auto all = simulation.select(
        [&](const request& each)
        {
            return each.job.urgency.route_rank == rank &&
                   each.job.continues_stream == continues_stream;
        });
    const auto served = std::count_if(
        all.begin(), all.end(), [](const request* each) { return each->done; });
    return static_cast<double>(served) / static_cast<double>(all.size());
}

} // namespace

// Guards against streams that end in the rush after a loss of all entries,
// while new ones of their route begin.
TEST_CASE("streams that are taken up go on before new ones begin")
{
    const overload_simulation simulation = return_after_loss(true, 90);
    const auto late = simulation.select(
        [](const request& each)
        {
            return each.job.continues_stream &&
                   (!each.done ||
                    overload_simulation::start + *each.done > each.job.due);
        });
    CHECK(late.empty());
    CHECK(served_share(simulation, 2, true) >
          served_share(simulation, 2, false));
}

// Guards against more urgent requests that are refused for the sake of streams
// of a less urgent route.
TEST_CASE("streams that are taken up cost no more urgent request its place")
{
    const overload_simulation with = return_after_loss(true, 150);
    const overload_simulation without = return_after_loss(false, 150);
    for (const std::uint32_t rank : {0U, 1U})
        CHECK(served_share(with, rank, false) >
              served_share(without, rank, false) - 0.01);
}

// Guards against streams that are given up while urgent requests take all the
// capacity, although their own time allows them to wait for its end.
TEST_CASE("streams that are taken up wait for as long as their callers do")
{
    const overload_simulation simulation = return_after_loss(true, 150);
    CHECK(served_share(simulation, 2, true) > 0.95);
}

// Guards against streams that get no part of a call ahead of others at a time,
// and then wait behind new requests of their rank, or are rejected.
TEST_CASE(
    "a forecast puts a stream that is taken up first and rejects it never")
{
    const auto start = overload_simulation::start;
    std::vector<stage_job> jobs(8, job_of(2, "club"));
    for (std::size_t number = 0; number < jobs.size(); ++number)
    {
        jobs[number].number = number;
        jobs[number].due = start + 700ms;
        jobs[number].expires = start + 700ms;
    }
    stage_job& stream = jobs.back();
    stream.continues_stream = true;
    for (const bool is_in_time : {true, false})
    {
        stream.due = start + (is_in_time ? 710ms : 100ms);
        std::vector<admission_candidate> found(jobs.size());
        for (std::size_t index = 0; index < jobs.size(); ++index)
        {
            found[index].job = &jobs[index];
            found[index].pieces = 1;
        }
        admission_forecast(start, {0ms, 0ms, 200ms, 200ms, 1},
                           [](const std::string&) { return service_outlook(); })
            .evaluate(found);
        CHECK(found.back().is_late == !is_in_time);
        CHECK_FALSE(found.back().is_hopeless);
        CHECK(std::ranges::any_of(found, &admission_candidate::is_hopeless));
    }
}
