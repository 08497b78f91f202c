#include "decision/repeatable_run.hpp"

#include <algorithm>

namespace mangofold::decision
{

repeatable_run::repeatable_run(attempt_policy policy, instant deadline,
                               std::uint64_t seed)
    : m_policy(policy), m_deadline(deadline), m_random(seed),
      m_backoff(policy.min_backoff, policy.max_backoff)
{
}

attempt_step repeatable_run::next_step(instant now, retry_budget& budget,
                                       duration attempt_timeout)
{
    if (m_final_result)
        return finish_stage{*m_final_result};
    if (now >= m_deadline)
        return give_up(reason::deadline_passed);
    if (m_is_in_flight)
    {
        const instant attempt_end = m_sent_at + attempt_timeout;
        if (now < attempt_end)
            return wait_until{std::min(m_deadline, attempt_end)};
        // Without a retry left, keep waiting for the current attempt.
        if (m_possible_runs + 1 >= m_policy.max_attempts || !budget.try_spend())
            return wait_until{m_deadline};
        // A late result of this attempt is dropped.
        ended(m_attempt, unknown_outcome(reason::target_timeout), now);
        m_needs_budget = false;
        m_earliest_send = now;
    }
    if (m_possible_runs >= m_policy.max_attempts)
        return give_up(m_last_result->cause);
    if (m_busy_refusals >= m_policy.max_busy_refusals ||
        m_resyncs >= m_policy.max_resyncs)
        return give_up(m_last_result->cause);
    if (now < m_earliest_send)
        return wait_until{std::min(m_earliest_send, m_deadline)};
    return send(budget);
}

attempt_step repeatable_run::send(retry_budget& budget)
{
    if (m_needs_budget && !budget.try_spend())
        return give_up(reason::retry_budget_spent);
    if (m_attempt == 0)
        budget.note_first_attempt();
    m_needs_budget = false;
    ++m_attempt;
    return send_attempt{m_attempt, {}, m_avoided_targets, 0, {}, false};
}

void repeatable_run::sent(const std::string& target, instant now)
{
    m_is_in_flight = true;
    m_sent_at = now;
    m_target = target;
}

void repeatable_run::not_sent(instant now)
{
    m_last_result = refused(reason::no_target, std::chrono::seconds(1));
    ++m_resyncs;
    m_avoided_targets.clear();
    m_earliest_send = now + m_policy.resync_delay;
}

bool repeatable_run::ended(std::uint32_t attempt, const stage_result& result,
                           instant now)
{
    if (attempt != m_attempt || !m_is_in_flight || m_final_result)
        return false;
    m_is_in_flight = false;
    m_last_result = result;
    if (result.status == stage_status::done)
    {
        m_final_result = result;
        return true;
    }
    if (is_out_of_sync(result.cause))
    {
        ++m_resyncs;
        m_earliest_send = now + m_policy.resync_delay;
        return true;
    }
    m_avoided_targets.push_back(m_target);
    if (result.status == stage_status::refused)
    {
        const bool is_busy = result.cause == reason::queue_full ||
                             result.cause == reason::too_late;
        m_busy_refusals += is_busy ? 1 : 0;
        m_resyncs += is_busy ? 0 : 1;
        return true;
    }
    m_may_have_run = true;
    m_needs_budget = true;
    ++m_possible_runs;
    m_earliest_send = now + m_backoff.next(m_random);
    return true;
}

stage_result repeatable_run::quarantined_result(duration retry_after) const
{
    if (!m_may_have_run)
        return refused(reason::quarantined, retry_after);
    return {
        stage_status::failed, reason::quarantined, {}, {}, retry_after, false};
}

// A stage that is given up ends at once. Waiting until the deadline would only
// hide the failure from the caller.
attempt_step repeatable_run::give_up(reason why) const
{
    if (m_may_have_run || m_is_in_flight)
    {
        stage_result last_result = m_last_result.value_or(stage_result{});
        return finish_stage{{stage_status::failed,
                             why,
                             {},
                             {},
                             last_result.retry_after,
                             false}};
    }
    const duration after =
        m_last_result ? m_last_result->retry_after : duration::zero();
    return finish_stage{refused(why, after)};
}

} // namespace mangofold::decision
