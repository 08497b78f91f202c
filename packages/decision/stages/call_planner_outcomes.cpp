#include "decision/stages/call_planner.hpp"

#include <algorithm>

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

} // namespace

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
    if (is_queued(call))
        target.call_ahead = 0; // The target did not execute them in order.
    target.end_current_call(now, false);
    // A call ahead waited until the one before it had ended.
    if (call.is_ahead)
        took = now - std::max(now - took, target.last_call_ended_at);
    target.last_call_ended_at = now;
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
    target.pace.note_call(duration(static_cast<duration::rep>(nominal)), took);
    // One fast call shows that a slow period is over; one slow call may have
    // had other causes.
    target.slowdown = measured < slow_threshold
                          ? std::max(1.0, measured)
                          : target.slowdown * (1 - latest_call_weight) +
                                latest_call_weight * measured;
}

void call_planner::note_load(const target_incarnation& target,
                             const target_load_report& report, instant now)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.pace.note_load(report, found->second.calls_in_progress,
                                     average_call_time(), now);
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
    if (note_call_ahead_failed(call, target, is_full, now))
        return;
    ++target.consecutive_failures;
    target.end_current_call(now, true);
    const double backoff_calls =
        is_full
            ? 0.5
            : std::min<double>(target.consecutive_failures, max_backoff_calls);
    target.backoff_until =
        now + duration(static_cast<duration::rep>(
                  backoff_calls *
                  static_cast<double>(m_profile.time_per_call.count())));
    target.free_at = std::max(target.free_at, target.backoff_until);
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

// No backoff: the next call holds what fits. While all targets backed off, the
// wait at this service seemed to be minutes, and requests expired elsewhere.
void call_planner::note_memory_full(const target_incarnation& target,
                                    instant now)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.note_full(m_profile.result_memory_bytes,
                                m_profile.result_lifetime, now);
}

} // namespace mangofold::decision
