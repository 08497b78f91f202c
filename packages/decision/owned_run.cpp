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
    return m_ticket_target ? *m_ticket_target : m_owners.at(m_owner);
}

attempt_step owned_run::next(instant now)
{
    if (m_final)
        return finish_stage{*m_final};
    if (now >= m_deadline)
        return give_up(reason::deadline_passed);
    if (m_is_out)
        return wait_until{m_deadline};
    if (!m_ticket_target && m_owner >= m_owners.size())
        return give_up(reason::no_target);
    if (m_resyncs >= m_policy.max_resyncs && m_pinned == 0)
        return give_up(m_last ? m_last->cause : reason::no_target);
    if (now < m_not_before)
        return wait_until{std::min(m_not_before, m_deadline)};
    ++m_attempt;
    return send_attempt{m_attempt, owner(),        {},
                        m_pinned,  m_renounced_by, m_ticket_target.has_value()};
}

void owned_run::sent(std::uint64_t incarnation)
{
    m_is_out = true;
    // From here on only the word of this very process can tell whether the
    // request ran; a later process of the target knows nothing of it.
    if (m_pinned == 0)
        m_pinned = incarnation;
}

void owned_run::not_sent(instant now)
{
    m_last = refused(reason::no_target, std::chrono::seconds(1));
    retry_after(m_policy.resync_wait, now);
}

void owned_run::link_lost(std::uint32_t attempt, instant now)
{
    if (attempt != m_attempt || !m_is_out)
        return;
    m_is_out = false;
    m_last = unknown_outcome(reason::link_lost);
    retry_after(m_policy.resync_wait, now);
}

bool owned_run::ended(std::uint32_t attempt, const stage_result& result,
                      instant now)
{
    if (attempt != m_attempt || !m_is_out || m_final)
        return false;
    m_is_out = false;
    m_last = result;
    if (result.status != stage_status::refused)
    {
        m_final = result;
        return true;
    }
    // The very process that got it says that nothing ran.
    m_pinned = 0;
    if (is_out_of_step(result.cause))
    {
        retry_after(m_policy.resync_wait, now);
        return true;
    }
    if (result.cause == reason::target_leaving)
    {
        m_renounced_by.push_back(owner());
        if (m_ticket_target)
            m_ticket_target.reset();
        std::erase_if(m_owners, [&](const std::string& one)
                      { return one == m_renounced_by.back(); });
        return true;
    }
    m_final = result;
    return true;
}

void owned_run::retry_after(duration wait, instant now)
{
    ++m_resyncs;
    m_not_before = now + wait;
}

attempt_step owned_run::give_up(reason why) const
{
    if (m_pinned != 0 || m_is_out)
        return finish_stage{unknown_outcome(why)};
    const duration after = m_last ? m_last->retry_after : duration::zero();
    return finish_stage{refused(why, after)};
}

} // namespace mangofold::decision
