#include "decision/stages/target_pace.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// Weight of a call in what is usual: an average over about ten calls, four
/// seconds.
constexpr double call_weight = 0.1;

/// One call counts with at most this multiple of the usual duration, so that a
/// slow period does not change what is usual.
constexpr double max_sample = 1.5;

/// Bounds of the usual duration over the declared one.
constexpr double min_usual = 0.5;
constexpr double max_usual = 5;

/// A stated pace changes many times a second, so it says nothing about calls
/// that start later.
constexpr duration pace_validity = std::chrono::milliseconds(100);

/// A call takes longer than one pace lasts, so half of the stated deviation
/// counts, within bounds: the timeout of a call depends on its duration.
constexpr double pace_share = 0.5;
constexpr double min_factor = 0.75;
constexpr double max_factor = 2;

/// A call that took less than this multiple of the usual duration did not wait
/// for a call of another entry.
constexpr double waited_threshold = 1.5;

} // namespace

void target_pace::note_call(duration nominal, duration took)
{
    if (nominal <= duration::zero() || took <= duration::zero())
        return;
    const double ratio = static_cast<double>(took.count()) /
                         static_cast<double>(nominal.count());
    m_latest = ratio / m_usual;
    const double sample = std::min(ratio, m_usual * max_sample);
    m_usual = std::clamp(m_usual + call_weight * (sample - m_usual), min_usual,
                         max_usual);
}

// Two entries may plan the same service for a moment. A statement of others'
// work that goes on although calls don't wait for it is wrong, and would cost
// the target half of its calls.
void target_pace::note_load(const target_load_report& report,
                            std::uint32_t own_calls, duration call_time,
                            instant now)
{
    m_stated_pace = report.pace;
    m_stated_at = now;
    const bool is_occupied = report.running + report.waiting > own_calls;
    if (!is_occupied)
        m_is_disbelieved = false;
    else if (m_was_occupied && m_latest < waited_threshold)
        m_is_disbelieved = true;
    m_was_occupied = is_occupied;
    if (is_occupied && !m_is_disbelieved)
        m_occupied_until = now + call_time;
}

duration target_pace::expected(duration nominal, instant now) const
{
    double factor = m_usual;
    if (m_stated_pace && m_stated_at <= now &&
        now <= m_stated_at + pace_validity)
        factor *= std::clamp(1 + pace_share * (*m_stated_pace - 1), min_factor,
                             max_factor);
    return duration(static_cast<duration::rep>(
        factor * static_cast<double>(nominal.count())));
}

} // namespace mangofold::decision
