#include "decision/owned_run.hpp"

#include <algorithm>
#include <utility>

namespace mangofold::decision
{

owned_run::owned_run(attempt_policy policy, instant deadline,
                     std::vector<std::string> owners,
                     std::optional<std::string> ticket_target)
    : m_policy(policy), m_deadline(deadline), m_owners(std::move(owners)),
      m_ticket_target(std::move(ticket_target))
{
}

const std::string& owned_run::owner() const
{
    return m_ticket_target ? *m_ticket_target : m_owners.at(m_owner_index);
}

attempt_step owned_run::next_step(instant now)
{
    if (m_final_result)
        return finish_stage{*m_final_result};
    if (now >= m_deadline)
        return give_up(reason::deadline_passed);
    if (m_is_in_flight)
        return wait_until{m_deadline};
    if (!m_ticket_target && m_owner_index >= m_owners.size())
        return give_up(reason::no_target);
    if (m_resyncs >= m_policy.max_resyncs && m_pinned_incarnation == 0)
        return give_up(m_last_result ? m_last_result->cause
                                     : reason::no_target);
    if (now < m_earliest_send)
        return wait_until{std::min(m_earliest_send, m_deadline)};
    ++m_attempt;
    return send_attempt{m_attempt,
                        owner(),
                        {},
                        m_pinned_incarnation,
                        m_renounced_by,
                        m_ticket_target.has_value()};
}

void owned_run::sent(std::uint64_t incarnation)
{
    m_is_in_flight = true;
    // From now on only this process can tell whether the request ran. A later
    // process of the same target does not know the request.
    if (m_pinned_incarnation == 0)
        m_pinned_incarnation = incarnation;
}

void owned_run::not_sent(instant now)
{
    m_last_result = refused(reason::no_target, std::chrono::seconds(1));
    schedule_retry(m_policy.resync_delay, now);
}

void owned_run::link_lost(std::uint32_t attempt, instant now)
{
    if (attempt != m_attempt || !m_is_in_flight)
        return;
    m_is_in_flight = false;
    m_last_result = unknown_outcome(reason::link_lost);
    schedule_retry(m_policy.resync_delay, now);
}

bool owned_run::ended(std::uint32_t attempt, const stage_result& result,
                      instant now)
{
    if (attempt != m_attempt || !m_is_in_flight || m_final_result)
        return false;
    m_is_in_flight = false;
    m_last_result = result;
    if (result.status != stage_status::refused)
    {
        m_final_result = result;
        return true;
    }
    // The process that received the request reports that it did not run.
    m_pinned_incarnation = 0;
    if (is_out_of_sync(result.cause))
    {
        schedule_retry(m_policy.resync_delay, now);
        return true;
    }
    if (result.cause == reason::target_leaving)
    {
        m_renounced_by.push_back(owner());
        if (m_ticket_target)
            m_ticket_target.reset();
        std::erase_if(m_owners, [&](const std::string& candidate)
                      { return candidate == m_renounced_by.back(); });
        return true;
    }
    m_final_result = result;
    return true;
}

void owned_run::schedule_retry(duration delay, instant now)
{
    ++m_resyncs;
    m_earliest_send = now + delay;
}

attempt_step owned_run::give_up(reason why) const
{
    if (m_pinned_incarnation != 0 || m_is_in_flight)
        return finish_stage{unknown_outcome(why)};
    const duration after =
        m_last_result ? m_last_result->retry_after : duration::zero();
    return finish_stage{refused(why, after)};
}

} // namespace mangofold::decision
