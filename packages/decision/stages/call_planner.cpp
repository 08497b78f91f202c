#include "decision/stages/call_planner.hpp"

#include "decision/stages/call_filling.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <tuple>

namespace mangofold::decision
{

namespace
{

/// A slow target is probed with one job, the least urgent, after this many
/// times a call's fixed time: about a second, in which a slow period can be
/// over.
constexpr int probe_after_calls = 5;

/// Share of a target's result memory that is planned for; the rest absorbs
/// results that are larger than estimated.
constexpr double usable_memory_share = 0.97;

} // namespace

void call_planner::set_profile(const catalog::call_profile& profile)
{
    if (profile.max_pieces != m_profile.max_pieces)
        m_throughput = {};
    m_profile = profile;
}

void call_planner::add(stage_job job)
{
    job_state state;
    const std::uint64_t number = job.number;
    for (std::uint32_t piece = 0; piece < job.pieces; ++piece)
        state.waiting.push_back(piece);
    m_waiting_pieces += state.waiting.size();
    state.job = std::move(job);
    m_is_forecast_outdated = true;
    m_jobs.insert_or_assign(number, std::move(state));
}

duration call_planner::expected_time(const stage_target& target,
                                     std::size_t pieces) const
{
    const double nominal =
        static_cast<double>(m_profile.time_per_call.count()) +
        static_cast<double>(m_profile.time_per_piece.count()) *
            static_cast<double>(pieces);
    return duration(static_cast<duration::rep>(nominal * target.slowdown));
}

// A slow target that got no calls would never be seen to have recovered.
bool call_planner::is_probe_due(const stage_target& target, instant now) const
{
    return target.slowdown >= slow_threshold &&
           now >= target.last_call_ended_at +
                      m_profile.time_per_call * probe_after_calls;
}

// A slow target holds its pieces for the time of several calls. The pieces are
// done sooner if they wait for a fast target, unless that takes longer still.
bool call_planner::has_faster_alternative(const stage_target& target,
                                          instant now) const
{
    if (target.slowdown < slow_threshold || is_probe_due(target, now))
        return false;
    const instant own = now + expected_time(target, m_profile.max_pieces);
    return std::any_of(
        m_targets.begin(), m_targets.end(),
        [&](const auto& entry)
        {
            const stage_target& other = entry.second;
            if (other.incarnation == target.incarnation ||
                other.unavailable_until() > now)
                return false;
            const instant free = std::max(other.free_at, now);
            return free + expected_time(other, m_profile.max_pieces) < own;
        });
}

std::vector<stage_target*> call_planner::free_targets(instant now)
{
    std::vector<stage_target*> found;
    for (auto& [id, target] : m_targets)
    {
        const bool has_space = target.calls_in_progress < m_profile.slots ||
                               may_take_call_ahead(target, now);
        if (!has_space || target.unavailable_until() > now ||
            has_faster_alternative(target, now))
            continue;
        target.drop_expired(now);
        found.push_back(&target);
    }
    const auto rank = [this, now](const stage_target* target)
    {
        return std::tuple(target->calls_in_progress >= m_profile.slots,
                          target->pace.occupied_until() > now, target->slowdown,
                          target->pace.expected(m_profile.time_per_call, now),
                          target->used_bytes(now));
    };
    std::sort(found.begin(), found.end(),
              [&rank](const stage_target* left, const stage_target* right)
              { return rank(left) < rank(right); });
    return found;
}

// Each piece fetches all inputs of its job, so that one job may move megabytes
// over the shared links between zones. A job that has just arrived therefore
// waits up to the fixed time of a call if a target of its zone will be free by
// then. Half of that time left a third of the inputs to cross zones.
bool call_planner::waits_for_zone(const stage_job& job,
                                  const stage_target& target, instant now) const
{
    if (job.zone.empty() || job.zone == target.zone)
        return false;
    const instant until = job.queued_at + m_profile.time_per_call;
    if (until <= now)
        return false;
    return std::any_of(
        m_targets.begin(), m_targets.end(),
        [&](const auto& entry)
        {
            const stage_target& other = entry.second;
            return other.zone == job.zone && other.slowdown < slow_threshold &&
                   std::max(other.free_at, other.unavailable_until()) < until;
        });
}

// A request that crashes its targets would fail all other requests of its call
// again and again: they are due together, so they would share the next call
// too. Requests of a call whose target crashed are therefore executed in two
// calls, and after a second crash each in a call of its own, so that only the
// responsible request fails a third time.
bool call_planner::may_join(const job_state& state,
                            const planned_call& call) const
{
    if (call.pieces.empty())
        return true;
    if (state.crashes > 1)
        return false;
    std::size_t suspects = state.crashes == 0 ? 0 : state.waiting.size();
    for (const piece_ref& piece : call.pieces)
    {
        const std::uint32_t crashes = m_jobs.at(piece.job).crashes;
        if (crashes > 1)
            return false;
        suspects += crashes;
    }
    return suspects <= m_profile.max_pieces / 2;
}

bool call_planner::may_run(const job_state& state,
                           const downstream_estimates& downstream) const
{
    const stage_job& job = state.job;
    const bool yields =
        job.is_late || (!state.goes_first && yields_to_urgent(job));
    return downstream.is_wanted(job) &&
           (job.is_started ||
            downstream.may_start(job, average_call_time(), yields));
}

// A job that prefers another zone must not take the place of one that prefers
// the target's, or most results would cross zones while there is a backlog.
std::uint32_t call_planner::filling_group(const job_state& state,
                                          const stage_target& target)
{
    const stage_job& job = state.job;
    const bool is_remote = !job.zone.empty() && job.zone != target.zone;
    return (job.is_late ? 2U : 0U) + (is_remote ? 1U : 0U);
}

// Requests that may have crashed a target share no call with most others, so
// their calls are filled in order.
void call_planner::prefer_full_call(
    std::vector<job_state*>& order, const stage_target& target,
    std::size_t space, const downstream_estimates& downstream) const
{
    std::vector<job_state*> considered;
    std::vector<fillable_job> jobs;
    for (job_state* state : order)
    {
        if (jobs.size() > max_filling_jobs)
            break;
        if (!may_run(*state, downstream))
            continue;
        if (state->crashes > 0)
            return;
        considered.push_back(state);
        jobs.push_back({static_cast<std::uint32_t>(state->waiting.size()),
                        state->was_passed_over, filling_group(*state, target)});
    }
    const call_filling filling = fill_call(jobs, space);
    for (const std::size_t position : filling.passed_over)
        considered[position]->was_passed_over = true;
    std::set<const job_state*> chosen;
    for (const std::size_t position : filling.chosen)
        chosen.insert(considered[position]);
    std::stable_partition(order.begin(), order.end(),
                          [&chosen](const job_state* state)
                          { return chosen.contains(state); });
}

void call_planner::add_pieces(planned_call& call, stage_target& target,
                              job_state& state, std::size_t count)
{
    const std::uint64_t bytes = state.job.result_bytes * count;
    target.reserved_bytes += bytes;
    call.result_bytes += bytes;
    m_waiting_pieces -= count;
    for (; count > 0; --count)
    {
        call.pieces.push_back({state.job.number, state.waiting.back()});
        state.waiting.pop_back();
    }
}

bool call_planner::fill(planned_call& call, stage_target& target, instant now,
                        const downstream_estimates& downstream)
{
    const auto capacity = static_cast<std::uint64_t>(
        static_cast<double>(m_profile.result_memory_bytes) *
        usable_memory_share);
    std::size_t space = m_profile.max_pieces;
    const bool is_probe = is_probe_due(target, now);
    bool is_any_left_out = false;
    std::vector<job_state*> order = jobs_by_urgency(target, now, downstream);
    if (is_probe)
        std::reverse(order.begin(), order.end());
    else if (m_waiting_pieces > space)
        prefer_full_call(order, target, space, downstream);
    for (job_state* state : order)
    {
        if (space == 0 || (is_probe && !call.pieces.empty()))
            break;
        if (!may_join(*state, call) || !may_run(*state, downstream))
            continue;
        const std::uint64_t used = target.used_bytes(now);
        const std::uint64_t bytes = state->job.result_bytes;
        const std::uint64_t fits =
            bytes == 0 ? space
                       : (capacity > used ? (capacity - used) / bytes : 0);
        const std::size_t wanted = state->waiting.size();
        const std::size_t count = std::min<std::size_t>(
            {wanted, space, static_cast<std::size_t>(fits)});
        is_any_left_out = is_any_left_out || count < wanted;
        // A job is kept in one call if possible: split over two it would wait
        // for the later one. Only a job too large for any call is split.
        if (count < wanted && wanted <= m_profile.max_pieces &&
            wanted * bytes <= capacity)
            continue;
        add_pieces(call, target, *state, count);
        space -= count;
    }
    return !is_probe && (space == 0 || is_any_left_out);
}

} // namespace mangofold::decision
