#include "decision/stages/call_planner.hpp"

#include <algorithm>

namespace mangofold::decision
{

// Jobs that can be on time go before those that will be late, so that one late
// request does not make all others late too. Whether a request would be late is
// decided once, when it starts: one that started on time continues as such, or
// its results would be dropped and produced again.
// Urgency decides which requests start. Started ones are ordered by due time:
// behind more urgent ones they would end late and waste their results. A job
// that prefers another zone counts as due one call's time later.
// A stream that is taken up may start as a late job, in calls with space left.
// Behind all work in time at the services of its later stages, it would expire.
call_planner::job_order call_planner::order_of(const job_state& state,
                                               const stage_target& target) const
{
    const stage_job& job = state.job;
    job_order order;
    order.is_behind_first = !state.goes_first;
    order.is_unstarted = state.is_unstarted();
    order.is_late =
        job.is_late && (order.is_unstarted || !job.continues_stream);
    if (order.is_unstarted)
    {
        order.urgency = job.urgency;
        order.is_first_time = job.is_late && !job.is_returning;
        order.account_turn = state.account_turn;
    }
    order.due = job.due;
    if (!job.zone.empty() && job.zone != target.zone)
        order.due += average_call_time();
    return order;
}

std::vector<call_planner::job_state*>
call_planner::jobs_by_urgency(const stage_target& target, instant now,
                              const downstream_estimates& downstream)
{
    std::vector<std::pair<job_order, job_state*>> order;
    update_forecast(now, downstream);
    for (auto& [number, state] : m_jobs)
        if (!state.waiting.empty() &&
            (state.has_been_forecast || !state.is_unstarted()) &&
            !waits_for_zone(state.job, target, now))
            order.emplace_back(order_of(state, target), &state);
    // Jobs of the same order keep that of their numbers.
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& left, const auto& right)
                     { return left.first < right.first; });
    std::vector<job_state*> jobs;
    jobs.reserve(order.size());
    for (const auto& [key, state] : order)
        jobs.push_back(state);
    return jobs;
}

} // namespace mangofold::decision
