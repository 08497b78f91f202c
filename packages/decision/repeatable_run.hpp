#pragma once

#include "decision/attempt_policy.hpp"
#include "decision/attempt_step.hpp"
#include "decision/backoff.hpp"
#include "decision/random_source.hpp"
#include "decision/retry_budget.hpp"

#include <optional>

namespace mangofold::decision
{

/// Sequences the attempts at a stage that may run more than once, with retries
/// and backoff. Attempts are numbered; only the result of the newest counts.
class repeatable_run
{
public:
    repeatable_run(attempt_policy policy, instant deadline, std::uint64_t seed);

    /// Returns the next step. An attempt without a result after
    /// \a attempt_timeout is abandoned for another one.
    attempt_step next_step(instant now, retry_budget& budget,
                           duration attempt_timeout);

    /// Records that the requested attempt was sent to \a target.
    void sent(const std::string& target, instant now);

    /// Records that no target was available for the requested attempt.
    void not_sent(instant now);

    /// Records that the link closed while \a attempt was in flight.
    void link_lost(std::uint32_t attempt, instant now)
    {
        ended(attempt, unknown_outcome(reason::link_lost), now);
    }

    /// Records the result of \a attempt. Returns whether the result counts,
    /// which only that of the newest attempt does.
    bool ended(std::uint32_t attempt, const stage_result& result, instant now);

    /// Returns the result of a stage whose content is quarantined for
    /// \a retry_after.
    stage_result quarantined_result(duration retry_after) const;

    /// Whether an attempt that ended may have run.
    bool may_have_run() const { return m_may_have_run; }

    std::uint32_t attempt() const { return m_attempt; }

private:
    attempt_step give_up(reason why) const;
    attempt_step send(retry_budget& budget);

    attempt_policy m_policy;
    instant m_deadline;
    random_source m_random;
    backoff m_backoff;
    std::uint32_t m_attempt = 0;
    std::uint32_t m_possible_runs = 0;
    std::uint32_t m_busy_refusals = 0;
    std::uint32_t m_resyncs = 0;
    bool m_is_in_flight = false;
    bool m_may_have_run = false;
    bool m_needs_budget = false;
    instant m_sent_at{};
    instant m_earliest_send{};
    std::string m_target;
    std::vector<std::string> m_avoided_targets;
    std::optional<stage_result> m_last_result;
    std::optional<stage_result> m_final_result;
};

} // namespace mangofold::decision
