#include "decision/repeatable_run.hpp"

#include <algorithm>

namespace mangofold::decision
{

repeatable_run::repeatable_run(attempt_policy policy, instant deadline,
                               std::uint64_t seed)
    : m_policy(policy), m_deadline(deadline), m_random(seed),
      m_backoff(policy.backoff_floor, policy.backoff_ceiling)
{
}

attempt_step repeatable_run::next(instant now, retry_budget& budget,
                                  duration attempt_timeout)
{
    if (m_answer)
        return finish_stage{*m_answer};
    if (now >= m_deadline)
        return give_up(reason::deadline_passed);
    if (m_is_out)
    {
        const instant attempt_end = m_sent_at + attempt_timeout;
        if (now < attempt_end)
            return wait_until{std::min(m_deadline, attempt_end)};
        // Without a retry to spend, the silent attempt is the best hope.
        if (m_ran + 1 >= m_policy.max_attempts || !budget.take())
            return wait_until{m_deadline};
        // It may still end; its answer is then dropped.
        ended(m_attempt, unknown_outcome(reason::target_timeout), now);
        m_needs_budget = false;
        m_not_before = now;
    }
    if (m_ran >= m_policy.max_attempts)
        return give_up(m_last->cause);
    if (m_busy >= m_policy.max_busy_refusals ||
        m_resyncs >= m_policy.max_resyncs)
        return give_up(m_last->cause);
    if (now < m_not_before)
        return wait_until{std::min(m_not_before, m_deadline)};
    return send(budget);
}

attempt_step repeatable_run::send(retry_budget& budget)
{
    if (m_needs_budget && !budget.take())
        return give_up(reason::retry_budget_spent);
    if (m_attempt == 0)
        budget.first_sent();
    m_needs_budget = false;
    ++m_attempt;
    return send_attempt{m_attempt, {}, m_avoid, 0, {}, false};
}

void repeatable_run::sent(const std::string& target, instant now)
{
    m_is_out = true;
    m_sent_at = now;
    m_target = target;
}

void repeatable_run::not_sent(instant now)
{
    m_last = refused(reason::no_target, std::chrono::seconds(1));
    ++m_resyncs;
    m_avoid.clear();
    m_not_before = now + m_policy.resync_wait;
}

bool repeatable_run::ended(std::uint32_t attempt, const stage_result& result,
                           instant now)
{
    if (attempt != m_attempt || !m_is_out || m_answer)
        return false;
    m_is_out = false;
    m_last = result;
    if (result.status == stage_status::done)
    {
        m_answer = result;
        return true;
    }
    if (is_out_of_step(result.cause))
    {
        ++m_resyncs;
        m_not_before = now + m_policy.resync_wait;
        return true;
    }
    m_avoid.push_back(m_target);
    if (result.status == stage_status::refused)
    {
        const bool is_busy = result.cause == reason::queue_full ||
                             result.cause == reason::too_late;
        m_busy += is_busy ? 1 : 0;
        m_resyncs += is_busy ? 0 : 1;
        return true;
    }
    m_may_have_run = true;
    m_needs_budget = true;
    ++m_ran;
    m_not_before = now + m_backoff.next(m_random);
    return true;
}

stage_result repeatable_run::kept_back(duration back_after) const
{
    if (!m_may_have_run)
        return refused(reason::quarantined, back_after);
    return {
        stage_status::failed, reason::quarantined, {}, {}, back_after, false};
}

// A request that is given up gets its final answer now: holding it until its
// deadline would only hide the failure from the caller.
attempt_step repeatable_run::give_up(reason why) const
{
    if (m_may_have_run || m_is_out)
    {
        stage_result last = m_last.value_or(stage_result{});
        return finish_stage{
            {stage_status::failed, why, {}, {}, last.retry_after, false}};
    }
    const duration after = m_last ? m_last->retry_after : duration::zero();
    return finish_stage{refused(why, after)};
}

} // namespace mangofold::decision
