#pragma once

#include "decision/attempt_policy.hpp"
#include "decision/attempt_step.hpp"
#include "decision/backoff.hpp"
#include "decision/random_source.hpp"
#include "decision/retry_budget.hpp"

#include <optional>

namespace mangofold::decision
{

/// The attempts at one stage that may run more than once. Attempts are
/// numbered; only the newest one counts.
class repeatable_run
{
public:
    repeatable_run(attempt_policy policy, instant deadline, std::uint64_t seed);

    /// Returns what to do now. An attempt that is silent for longer than
    /// \a attempt_timeout is given up for another one.
    attempt_step next(instant now, retry_budget& budget,
                      duration attempt_timeout);

    /// Notes that the attempt just asked for went to \a target.
    void sent(const std::string& target, instant now);

    /// Notes that no target could take the attempt just asked for.
    void not_sent(instant now);

    /// Notes that the stream ended while \a attempt was under way.
    void link_lost(std::uint32_t attempt, instant now)
    {
        ended(attempt, unknown_outcome(reason::link_lost), now);
    }

    /// Notes how \a attempt ended. Returns whether it was the newest one.
    bool ended(std::uint32_t attempt, const stage_result& result, instant now);

    /// Returns how the stage ends where it must be sent nowhere until
    /// \a back_after is over.
    stage_result kept_back(duration back_after) const;

    /// Whether anything was sent that may have run.
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
    std::uint32_t m_ran = 0;
    std::uint32_t m_busy = 0;
    std::uint32_t m_resyncs = 0;
    bool m_is_out = false;
    bool m_may_have_run = false;
    bool m_needs_budget = false;
    instant m_sent_at{};
    instant m_not_before{};
    std::string m_target;
    std::vector<std::string> m_avoid;
    std::optional<stage_result> m_last;
    std::optional<stage_result> m_answer;
};

} // namespace mangofold::decision
