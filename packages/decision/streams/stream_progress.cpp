#include "decision/streams/stream_progress.hpp"

#include <algorithm>
#include <array>

namespace mangofold::decision
{

namespace
{

/// Pause before the second round; it doubles with each further one up to the
/// maximum, a call's fixed time.
constexpr duration min_pause = std::chrono::milliseconds(20);
constexpr duration max_pause = std::chrono::milliseconds(200);

duration pause_after(std::uint32_t failed_rounds)
{
    constexpr std::uint32_t max_doublings = 4;
    const std::uint32_t doublings =
        std::min(std::max(failed_rounds, 1U) - 1, max_doublings);
    return std::min(min_pause * (1U << doublings), max_pause);
}

} // namespace

std::string_view to_string(stream_bound value)
{
    constexpr std::array<std::string_view, 5> names{
        "none", "caller_time", "patience", "process_end", "sends"};
    return names.at(static_cast<std::size_t>(value));
}

void stream_progress::note_event(instant now)
{
    m_silent_since = now;
    m_failed_rounds = 0;
}

instant stream_progress::next_event_by() const
{
    return m_patience == duration::zero()
               ? m_deadline
               : std::min(m_deadline, m_silent_since + m_patience);
}

// A forecast of waits does not count here: a wait that is forecast right after
// a disturbance is often over a moment later, and the caller has nothing of a
// refusal but one try less.
next_round stream_progress::note_failed_round(const round_terms& terms,
                                              instant now)
{
    ++m_failed_rounds;
    const duration pause = terms.has_other_target
                               ? duration::zero()
                               : pause_after(m_failed_rounds);
    const instant earliest_event = now + pause + terms.least_time;
    if (!terms.may_send)
        return {stream_bound::sends, {}};
    if (earliest_event > m_deadline)
        return {stream_bound::caller_time, {}};
    if (earliest_event > next_event_by())
        return {stream_bound::patience, {}};
    if (earliest_event > terms.latest_start)
        return {stream_bound::process_end, {}};
    return {stream_bound::none, pause};
}

} // namespace mangofold::decision
