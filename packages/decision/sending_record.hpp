#pragma once

#include <cstdint>

namespace mangofold::decision
{

/// Counts the sends of one request by outcome, and decides from them whether
/// the request may be sent again and whether it can be reported as not run.
class sending_record
{
public:
    /// At most \a max_targets targets may run a repeatable request.
    sending_record(bool is_repeatable, std::uint32_t max_targets)
        : m_is_repeatable(is_repeatable), m_max_targets(max_targets)
    {
    }

    /// Whether the request may be sent to another target now. A request that
    /// is not repeatable may only be sent again if every target so far has
    /// reported that the request did not run and never will.
    bool may_send() const;

    /// Whether the request has run at no target and never will.
    bool is_known_not_run() const { return m_possible_runs == 0; }

    void note_sent() { ++m_possible_runs; }

    /// Records that the target refused the newest send, which did not run and
    /// never will.
    void note_not_run();

    /// Records that the newest send reached no target.
    void note_unsent();

    /// Lets targets refuse the request as often as there is time for: its
    /// caller has a part of the answer.
    void allow_refusals() { m_are_refusals_limited = false; }

    /// Returns the number of all sends, also of those that reached no target.
    std::uint32_t sends() const { return arrivals() + m_unsent; }

    /// Returns the number of sends that may have reached a target.
    std::uint32_t arrivals() const { return m_possible_runs + m_refusals; }

private:
    /// The maximum number of refused sends per request. A refusal costs the
    /// target time although nothing runs.
    static constexpr std::uint32_t max_refused_sends = 3;

    bool m_is_repeatable;
    std::uint32_t m_max_targets;
    std::uint32_t m_possible_runs = 0;
    std::uint32_t m_refusals = 0;
    std::uint32_t m_unsent = 0;
    bool m_are_refusals_limited = true;
};

inline bool sending_record::may_send() const
{
    if (m_are_refusals_limited && m_refusals >= max_refused_sends)
        return false;
    return m_possible_runs == 0 ||
           (m_is_repeatable && m_possible_runs < m_max_targets);
}

inline void sending_record::note_not_run()
{
    --m_possible_runs;
    ++m_refusals;
}

inline void sending_record::note_unsent()
{
    --m_possible_runs;
    ++m_unsent;
}

} // namespace mangofold::decision
