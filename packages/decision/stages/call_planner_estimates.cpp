#include "decision/stages/call_planner.hpp"

#include <algorithm>
#include <cmath>

namespace mangofold::decision
{

std::uint64_t call_planner::stored_bytes() const
{
    std::uint64_t sum = 0;
    for (const auto& [id, target] : m_targets)
        sum += target.stored_bytes;
    return sum;
}

duration call_planner::average_call_time() const
{
    return m_average_call_ns == 0
               ? m_profile.time_per_call
               : duration(static_cast<duration::rep>(m_average_call_ns));
}

duration call_planner::time_per_piece(instant now) const
{
    const double pieces = m_throughput.pieces_per_call(m_profile.max_pieces);
    const auto whole_pieces = static_cast<std::size_t>(std::lround(pieces));
    double pieces_per_ns = 0;
    for (const auto& [id, target] : m_targets)
    {
        if (target.backoff_until > now)
            continue;
        const auto time = std::max(
            (expected_time(target, whole_pieces) + m_throughput.pause()) /
                m_profile.slots,
            target.min_call_interval);
        pieces_per_ns += pieces / static_cast<double>(time.count());
    }
    if (pieces_per_ns <= 0)
        return m_profile.time_per_call;
    return duration(static_cast<duration::rep>(1 / pieces_per_ns));
}

std::size_t call_planner::waiting_pieces_on_time() const
{
    std::size_t pieces = 0;
    for (const auto& [number, state] : m_jobs)
        if (!state.job.is_late)
            pieces += state.waiting.size();
    return pieces;
}

instant call_planner::earliest_call(instant now) const
{
    if (m_targets.empty())
        return now;
    instant earliest = instant::max();
    for (const auto& [id, target] : m_targets)
        earliest = std::min(earliest, std::max(now, target.next_call_at));
    // Unknown as long as this entry may not send at all.
    return earliest == instant::max() ? now : earliest;
}

duration call_planner::expected_wait(instant now, bool is_late) const
{
    instant first_free = now + m_profile.time_per_call * 2;
    for (const auto& [id, target] : m_targets)
        first_free = std::min(
            first_free,
            target.calls_in_progress >= m_profile.slots ||
                    target.unavailable_until() > now
                ? std::max({target.free_at, target.unavailable_until(), now})
                : now);
    const std::size_t pieces_ahead =
        is_late ? m_waiting_pieces : waiting_pieces_on_time();
    return time_per_piece(now) * static_cast<duration::rep>(pieces_ahead) +
           (first_free - now);
}

} // namespace mangofold::decision
