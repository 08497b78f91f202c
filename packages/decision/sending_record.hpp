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

    /// Records that the newest send did not run and never will.
    void note_not_run();

    std::uint32_t sends() const { return m_possible_runs + m_refusals; }

private:
    /// The maximum number of refused sends per request. A refusal costs the
    /// target time although nothing runs.
    static constexpr std::uint32_t max_refused_sends = 3;

    bool m_is_repeatable;
    std::uint32_t m_max_targets;
    std::uint32_t m_possible_runs = 0;
    std::uint32_t m_refusals = 0;
};

inline bool sending_record::may_send() const
{
    if (m_refusals >= max_refused_sends)
        return false;
    return m_possible_runs == 0 ||
           (m_is_repeatable && m_possible_runs < m_max_targets);
}

inline void sending_record::note_not_run()
{
    --m_possible_runs;
    ++m_refusals;
}

} // namespace mangofold::decision
