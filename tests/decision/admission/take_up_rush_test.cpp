#include "overload_simulation.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;
using mangofold::test::overload_simulation;
using request = overload_simulation::request;

namespace
{

/// Pieces per second of the simulated service.
constexpr double capacity = 266;

stage_job job_of(std::uint32_t rank, bool continues_stream = false)
{
    stage_job result;
    result.urgency = {0, rank};
    result.account = "club";
    result.continues_stream = continues_stream;
    result.is_returning = continues_stream;
    result.downstream = {{"later", 1}};
    return result;
}

/// Callers of the least urgent rank return within 0.3 s to take up \a streams
/// streams. New requests arrive all the time: of the two urgent ranks for
/// \a urgent_share of the capacity, of the least urgent one for 0.8 of it.
overload_simulation rush(int streams, double urgent_share)
{
    overload_simulation simulation;
    simulation.add_later_service(capacity);
    if (streams > 0)
        simulation.add(3s, 3300ms, streams / 0.3, job_of(2, true), 1800ms,
                       7200ms);
    for (const std::uint32_t rank : {0U, 1U})
        simulation.add(0s, 12s, capacity * urgent_share / 2, job_of(rank), 2s,
                       6s);
    simulation.add(0s, 12s, capacity * 0.8, job_of(2), 1800ms, 7s);
    simulation.run(24s);
    return simulation;
}

double share_that_went_on(const overload_simulation& simulation)
{
    const auto taken_up = simulation.select(
        [](const request& each) { return each.job.continues_stream; });
    const auto went_on = std::ranges::count_if(
        taken_up,
        [](const request* each)
        {
            return each->done &&
                   overload_simulation::start + *each->done < each->job.expires;
        });
    return static_cast<double>(went_on) / static_cast<double>(taken_up.size());
}

std::ptrdiff_t urgent_in_time(const overload_simulation& simulation)
{
    return std::ranges::count_if(
        simulation.requests,
        [](const request& each)
        {
            return each.job.urgency.route_rank < 2 && each.done &&
                   overload_simulation::start + *each.done <= each.job.due;
        });
}

} // namespace

// Guards against streams that count as late soon after their return and then
// wait behind new requests of their own rank until their callers leave.
TEST_CASE("streams that are taken up go on although new requests are in time")
{
    for (const int streams : {50, 200, 400})
        for (const double urgent_share : {0.4, 0.8})
        {
            CAPTURE(streams);
            CAPTURE(urgent_share);
            CHECK(share_that_went_on(rush(streams, urgent_share)) >= 0.9);
        }
}

// Guards against streams that wait behind more urgent new requests until their
// callers leave: these requests alone take all capacity for longer than that.
TEST_CASE("streams that are taken up go on in a lasting rush of new requests")
{
    for (const int streams : {50, 200, 400, 800})
    {
        CAPTURE(streams);
        CHECK(share_that_went_on(rush(streams, 1.2)) >= 0.9);
    }
}

// Guards against urgent requests that end late for the sake of streams,
// although the service has time for both or beyond the work of these streams.
TEST_CASE("streams that are taken up cost urgent requests at most their work")
{
    for (const double urgent_share : {0.4, 0.8, 1.2})
    {
        const auto alone = urgent_in_time(rush(0, urgent_share));
        for (const int streams : {50, 200, 400, 800})
        {
            CAPTURE(urgent_share);
            CAPTURE(streams);
            const auto lost =
                alone - urgent_in_time(rush(streams, urgent_share));
            CHECK(lost <= streams);
            // What is left in the six seconds that callers wait for stages.
            if (streams < 6 * capacity * (1 - urgent_share))
                CHECK(lost == 0);
        }
    }
}
