#include "serving/piece_batcher.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// A request is started if a piece of its next stages would wait at most this
/// many times the fixed time of their calls: a lower bound leaves gaps between
/// their calls, a higher one fills the memory for results.
constexpr int max_wait_factor = 2;

/// The same bound for a request that will be late, or that yields to more
/// urgent ones.
constexpr int max_yielding_wait_factor = 1;

/// How long a forecast is valid while no new work is started: a hundredth of a
/// call's time. It is needed for each waiting request at each new piece;
/// computing it each time took most of the batching entry's processor time
/// during a burst.
constexpr duration forecast_validity = std::chrono::milliseconds(2);

} // namespace

// A request is started when its next stages can accept it about a call's time
// after this one is done. That keeps the next stages busy with short queues. A
// request that will miss its deadline only takes capacity that the others
// leave.
piece_batcher::downstream_forecast
piece_batcher::compute_forecast(const decision::stage_job& job,
                                duration call_time, bool is_late) const
{
    const instant now = m_context.now();
    downstream_forecast forecast;
    forecast.call_time = call_time;
    forecast.is_late = is_late;
    duration arrives_in = call_time;
    for (const decision::downstream_pieces& stage : job.downstream)
    {
        forecast.services.push_back(stage.service);
        const auto* profile = call_profile_of(stage.service);
        if (profile == nullptr)
            continue;
        const duration wait =
            m_backlog.expected_wait(stage.service, now, arrives_in, is_late);
        forecast.may_start = forecast.may_start &&
                             wait <= profile->time_per_call * max_wait_factor;
        forecast.may_start_yielding =
            forecast.may_start_yielding &&
            wait <= profile->time_per_call * max_yielding_wait_factor;
        arrives_in +=
            wait + m_backlog.call_time(stage.service, profile->time_per_call);
    }
    forecast.remaining_time = arrives_in - call_time;
    return forecast;
}

const piece_batcher::downstream_forecast&
piece_batcher::forecast_for(const decision::stage_job& job, duration call_time,
                            bool is_late)
{
    const instant now = m_context.now();
    if (now > m_forecasts_at + forecast_validity)
    {
        m_forecasts.clear();
        m_forecasts_at = now;
    }
    for (const downstream_forecast& forecast : m_forecasts)
        if (forecast.call_time == call_time && forecast.is_late == is_late &&
            std::equal(forecast.services.begin(), forecast.services.end(),
                       job.downstream.begin(), job.downstream.end(),
                       [](const std::string& service,
                          const decision::downstream_pieces& later)
                       { return service == later.service; }))
            return forecast;
    return m_forecasts.emplace_back(compute_forecast(job, call_time, is_late));
}

const catalog::call_profile*
piece_batcher::call_profile_of(const std::string& service) const
{
    const auto* found = m_context.catalog->find_service(service);
    return found != nullptr && found->calls ? &*found->calls : nullptr;
}

void piece_batcher::note_started_jobs(const service_queue& queue,
                                      const decision::planned_call& plan)
{
    const instant now = m_context.now();
    m_forecasts.clear();
    std::uint64_t last_job = 0;
    for (const decision::piece_ref& ref : plan.pieces)
    {
        const decision::stage_job* job = queue.planner.find(ref.job);
        if (job == nullptr || ref.job == last_job || job->is_started)
            continue;
        last_job = ref.job;
        duration arrives_in = plan.expected_time;
        for (const decision::downstream_pieces& next : job->downstream)
        {
            const auto* profile = call_profile_of(next.service);
            if (profile == nullptr)
                continue;
            const duration per_piece =
                time_per_piece_of(next.service, *profile);
            const duration wait = m_backlog.expected_wait(
                next.service, now, arrives_in, job->is_late);
            m_backlog.note_started(next, per_piece, now, arrives_in,
                                   job->is_late);
            arrives_in += wait + m_backlog.call_time(next.service,
                                                     profile->time_per_call);
        }
    }
}

std::map<std::string, decision::service_wait_times>
piece_batcher::wait_times() const
{
    const instant now = m_context.now();
    std::map<std::string, decision::service_wait_times> found;
    for (const auto& [service, queue] : m_queues)
        if (queue->last_job_at + recent_job_time > now)
            found[service] = {queue->planner.expected_wait(now, false),
                              queue->planner.expected_wait(now, true),
                              queue->planner.average_call_time(),
                              queue->planner.time_per_piece(now)};
    return found;
}

void piece_batcher::note_wait_times(const std::string& service,
                                    const decision::service_wait_times& times)
{
    m_forecasts.clear();
    m_backlog.note_wait_times(service, times, m_context.now());
}

} // namespace mangofold::serving
