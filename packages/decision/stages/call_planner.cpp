#include "decision/stages/call_planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mangofold::decision
{

namespace
{

/// Longest backoff of a target after failed calls, in units of a call's fixed
/// time. The first backoff is one fixed time: the target cannot be expected to
/// be free again sooner.
constexpr double max_backoff_calls = 8;

/// Weight of the latest call in a target's slowdown. With a half, a target
/// recovers from a slow period within three calls, about a second.
constexpr double latest_call_weight = 0.5;

/// A target with at least this slowdown is used only if waiting for another
/// target takes longer.
constexpr double slow_threshold = 1.5;

/// A slow target is probed with one job, the least urgent, after this many
/// times a call's fixed time: about a second, in which a slow period can be
/// over.
constexpr int probe_after_calls = 5;

/// Divisor of a call's fixed time that gives how long a job waits for a target
/// of its own zone: half a call. Three stages then add at most a tenth to a
/// latency goal of two to three seconds.
constexpr int zone_wait_divisor = 2;

/// Share of a target's result memory that is planned for; the rest absorbs
/// results that are larger than estimated.
constexpr double usable_memory_share = 0.97;

} // namespace

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
        if (target.calls_in_progress >= m_profile.slots ||
            target.unavailable_until() > now ||
            has_faster_alternative(target, now))
            continue;
        target.drop_expired(now);
        found.push_back(&target);
    }
    const auto rank = [](const stage_target* target)
    { return std::pair(target->slowdown, target->stored_bytes); };
    std::sort(found.begin(), found.end(),
              [&rank](const stage_target* left, const stage_target* right)
              { return rank(left) < rank(right); });
    return found;
}

// Results that cross zones take long on a shared link. A job that has just
// arrived therefore waits for a short time if a target of its own zone will be
// free soon.
bool call_planner::waits_for_zone(const stage_job& job,
                                  const stage_target& target, instant now) const
{
    if (job.zone.empty() || job.zone == target.zone)
        return false;
    const instant until =
        job.queued_at + m_profile.time_per_call / zone_wait_divisor;
    if (until <= now)
        return false;
    return std::any_of(
        m_targets.begin(), m_targets.end(),
        [&](const auto& entry)
        {
            const stage_target& other = entry.second;
            return other.zone == job.zone && other.slowdown < slow_threshold &&
                   std::max(other.free_at, other.unavailable_until()) <= until;
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

void call_planner::fill(planned_call& call, stage_target& target, instant now,
                        const downstream_estimates& downstream)
{
    const auto capacity = static_cast<std::uint64_t>(
        static_cast<double>(m_profile.result_memory_bytes) *
        usable_memory_share);
    std::uint64_t used = target.stored_bytes + target.reserved_bytes;
    std::size_t space = m_profile.max_pieces;
    const bool is_probe = is_probe_due(target, now);
    std::vector<job_state*> order = jobs_by_urgency(target, now, downstream);
    if (is_probe)
        std::reverse(order.begin(), order.end());
    for (job_state* state : order)
    {
        if (space == 0 || (is_probe && !call.pieces.empty()))
            break;
        const stage_job& job = state->job;
        if (!may_join(*state, call) ||
            (!job.is_started &&
             !downstream.may_start(job, average_call_time())))
            continue;
        const std::uint64_t bytes = state->job.result_bytes;
        const std::uint64_t fits =
            bytes == 0 ? space
                       : (capacity > used ? (capacity - used) / bytes : 0);
        const std::size_t wanted = state->waiting.size();
        std::size_t count = std::min<std::size_t>(
            {wanted, space, static_cast<std::size_t>(fits)});
        // A job is kept in one call if possible: split over two it would wait
        // for the later one. Only a job too large for any call is split.
        if (count < wanted && wanted <= m_profile.max_pieces &&
            wanted * bytes <= capacity)
            continue;
        for (; count > 0; --count)
        {
            call.pieces.push_back({state->job.number, state->waiting.back()});
            state->waiting.pop_back();
            used += bytes;
            target.reserved_bytes += bytes;
            call.result_bytes += bytes;
            --space;
            --m_waiting_pieces;
        }
    }
}

std::optional<planned_call>
call_planner::next_call(instant now, const downstream_estimates& downstream)
{
    if (m_waiting_pieces == 0)
        return std::nullopt;
    for (stage_target* target : free_targets(now))
    {
        planned_call call;
        call.target = target->incarnation;
        fill(call, *target, now, downstream);
        if (call.pieces.empty())
            continue;
        note_starts(call, now);
        call.expected_time = expected_time(*target, call.pieces.size());
        ++target->calls_in_progress;
        target->free_at = now + call.expected_time;
        return call;
    }
    return std::nullopt;
}

void call_planner::note_call_answered(const planned_call& call, duration took,
                                      instant now)
{
    const auto found = m_targets.find(call.target);
    if (found == m_targets.end())
        return;
    stage_target& target = found->second;
    target.calls_in_progress -= target.calls_in_progress > 0 ? 1 : 0;
    target.reserved_bytes -= std::min(target.reserved_bytes, call.result_bytes);
    target.consecutive_failures = 0;
    target.last_call_ended_at = now;
    target.free_at = now;
    const auto nominal =
        static_cast<double>((m_profile.time_per_call +
                             m_profile.time_per_piece *
                                 static_cast<duration::rep>(call.pieces.size()))
                                .count());
    constexpr double average_weight = 0.1; // Calls of about two seconds.
    const auto ns = static_cast<double>(took.count());
    m_average_call_ns =
        m_average_call_ns == 0
            ? ns
            : m_average_call_ns + average_weight * (ns - m_average_call_ns);
    const double measured = static_cast<double>(took.count()) / nominal;
    // One fast call shows that a slow period is over; one slow call may have
    // had other causes.
    target.slowdown = measured < slow_threshold
                          ? std::max(1.0, measured)
                          : target.slowdown * (1 - latest_call_weight) +
                                latest_call_weight * measured;
}

void call_planner::note_call_failed(const planned_call& call, bool is_full,
                                    instant now)
{
    const auto found = m_targets.find(call.target);
    if (found == m_targets.end())
        return;
    stage_target& target = found->second;
    target.calls_in_progress -= target.calls_in_progress > 0 ? 1 : 0;
    target.reserved_bytes -= std::min(target.reserved_bytes, call.result_bytes);
    ++target.consecutive_failures;
    const double backoff_calls =
        is_full
            ? 0.5
            : std::min<double>(target.consecutive_failures, max_backoff_calls);
    target.backoff_until =
        now + duration(static_cast<duration::rep>(
                  backoff_calls *
                  static_cast<double>(m_profile.time_per_call.count())));
    target.free_at = target.backoff_until;
}

// The handles of the results are unknown, so the results cannot be released.
// Calls planned as if that memory were free would return without most of their
// pieces.
void call_planner::note_call_unanswered(const planned_call& call, instant now)
{
    note_call_failed(call, false, now);
    const auto found = m_targets.find(call.target);
    if (found != m_targets.end() && call.result_bytes > 0)
        found->second.store("lost/" + std::to_string(++m_unanswered_calls),
                            call.result_bytes, now + m_profile.result_lifetime);
}

void call_planner::note_memory_full(const target_incarnation& target,
                                    instant now)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.backoff_until = now + m_profile.time_per_call / 2;
}

} // namespace mangofold::decision
