#include "decision/stages/call_planner.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// How long before the expected end of a target's call its next one is sent.
/// Targets were idle for about 28 ms between two calls.
constexpr duration ahead_time = std::chrono::milliseconds(30);

/// A call ahead holds at least this share of the pieces that a call can hold.
/// Smaller ones gain little, and their jobs may fill another call.
constexpr double min_ahead_share = 0.75;

} // namespace

// Pauses after failures or at targets that are skipped because they are slow
// say nothing about the others. A target without memory for results may pause
// for seconds; a few of these would dominate the average.
void call_planner::note_pause(const stage_target& target, instant now)
{
    if (target.calls_in_progress > 0 || target.consecutive_failures > 0 ||
        target.slowdown >= slow_threshold ||
        target.last_call_ended_at <= m_idle_at)
        return;
    m_throughput.note_pause(std::min<duration>(now - target.last_call_ended_at,
                                               m_profile.time_per_call * 4));
}

// A target whose call takes longer than expected may have become slow, and
// would hold the pieces of its next call for long.
bool call_planner::may_take_call_ahead(const stage_target& target,
                                       instant now) const
{
    return m_profile.queue > 0 && m_profile.slots == 1 &&
           m_waiting_pieces >= m_profile.max_pieces &&
           target.calls_in_progress == 1 && target.call_ahead == 0 &&
           target.free_at >= now && target.free_at <= now + ahead_time &&
           target.no_calls_ahead_until <= now &&
           target.consecutive_failures == 0 &&
           target.min_call_interval == duration::zero() &&
           target.slowdown < slow_threshold;
}

void call_planner::undo(const planned_call& call, stage_target& target)
{
    target.reserved_bytes -= std::min(target.reserved_bytes, call.result_bytes);
    for (const piece_ref& piece : call.pieces)
        requeue_piece(piece);
}

void call_planner::note_planned(planned_call& call, stage_target& target,
                                bool is_filled, instant now)
{
    note_pause(target, now);
    if (is_filled)
        m_throughput.note_call(call.pieces.size());
    call.number = ++m_planned_calls;
    // Never below the measured time: the timeout of a call depends on it.
    const duration nominal = m_profile.time_per_call +
                             m_profile.time_per_piece *
                                 static_cast<duration::rep>(call.pieces.size());
    call.expected_time = std::max(expected_time(target, call.pieces.size()),
                                  target.pace.expected(nominal, now));
    ++target.calls_in_progress;
    if (!call.is_ahead)
    {
        target.free_at = now + call.expected_time;
        return;
    }
    target.call_ahead = call.number;
    target.time_of_call_ahead = call.expected_time;
    target.free_at += call.expected_time;
    call.expected_time = target.free_at - now;
}

std::optional<planned_call>
call_planner::next_call(instant now, const downstream_estimates& downstream)
{
    if (m_waiting_pieces == 0)
    {
        m_idle_at = now;
        return std::nullopt;
    }
    for (stage_target* target : free_targets(now))
    {
        planned_call call;
        call.target = target->incarnation;
        call.is_ahead = target->calls_in_progress >= m_profile.slots;
        const bool is_filled = fill(call, *target, now, downstream);
        if (call.pieces.empty() && !is_filled && !call.is_ahead)
            m_idle_at = now;
        const bool is_too_small =
            !is_filled || static_cast<double>(call.pieces.size()) <
                              min_ahead_share * m_profile.max_pieces;
        if (call.is_ahead && is_too_small)
            undo(call, *target);
        else if (!call.pieces.empty())
        {
            note_planned(call, *target, is_filled, now);
            note_starts(call, now);
            return call;
        }
    }
    return std::nullopt;
}

bool call_planner::is_queued(const planned_call& call) const
{
    const auto found = m_targets.find(call.target);
    return call.is_ahead && found != m_targets.end() &&
           found->second.call_ahead == call.number;
}

bool call_planner::may_have_begun(const planned_call& call) const
{
    const auto found = m_targets.find(call.target);
    return !call.is_ahead || found == m_targets.end() ||
           (found->second.call_ahead != call.number &&
            found->second.unstarted_call != call.number);
}

// The call ahead was sent at the wrong moment, or another entry calls the
// target, too. The target still has its current call, so the refusal says
// nothing about it.
bool call_planner::note_call_ahead_failed(const planned_call& call,
                                          stage_target& target, bool is_full,
                                          instant now)
{
    const bool was_queued = call.is_ahead && target.call_ahead == call.number;
    if (!was_queued && !(call.is_ahead && is_full))
        return false;
    target.no_calls_ahead_until = now + m_profile.time_per_call * 20;
    if (was_queued)
    {
        target.call_ahead = 0;
        target.free_at -= target.time_of_call_ahead;
    }
    else
        target.free_at = now;
    return true;
}

} // namespace mangofold::decision
