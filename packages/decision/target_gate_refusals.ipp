// Refusal checks of target_gate. Included by target_gate.hpp.
#pragma once

namespace mangofold::decision
{

// An earlier process of this target may have run the request. The entry would
// take any refusal by this process to mean that the request did not run.
template<concurrency_policy Limit, safeguard_set Safeguards>
typename target_gate<Limit, Safeguards>::optional_result
target_gate<Limit, Safeguards>::check_incarnation(const submission& work) const
{
    const bool is_other_process = work.pinned_incarnation != 0 &&
                                  work.pinned_incarnation != m_self.incarnation;
    if (Safeguards::has_incarnation_check && !work.is_repeatable &&
        is_other_process)
        return unknown_outcome(reason::incarnation_changed);
    return std::nullopt;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
typename target_gate<Limit, Safeguards>::optional_result
target_gate<Limit, Safeguards>::check_generation(const submission& work) const
{
    if (m_configuration.generation == 0)
        return refused(reason::not_ready);
    if (!Safeguards::has_generation_check)
        return std::nullopt;
    // An entry that missed a change would run an outdated stage. The refusal
    // carries the newer generation to the entry.
    if (work.generation < m_configuration.generation)
        return refused(reason::generation_behind);
    if (work.generation > m_configuration.generation)
        return refused(reason::generation_ahead);
    return std::nullopt;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
typename target_gate<Limit, Safeguards>::optional_result
target_gate<Limit, Safeguards>::check_grant(const submission& work,
                                            const digest& key, instant now)
{
    if (is_leaving(now) && Safeguards::has_leaving_refusal)
    {
        // The entry may now submit to the next owner of the key, so an older
        // submission that arrives here later must be refused.
        if (!work.is_repeatable && Safeguards::has_renouncing)
            m_ledger.renounce(key, now);
        return refused(reason::target_leaving);
    }
    if (Safeguards::has_grants &&
        !m_grants.is_valid(work.ref.link, work.grant, now))
        return refused(reason::grant_lapsed);
    return std::nullopt;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
typename target_gate<Limit, Safeguards>::optional_result
target_gate<Limit, Safeguards>::check_at_most_once(const submission& work,
                                                   const digest& key,
                                                   instant now)
{
    optional_result refusal = work.presented_ticket
                                  ? check_ticket(work, now)
                                  : check_without_ticket(work, key, now);
    if (refusal)
        return refusal;
    if (!m_ledger.make_room(now))
        return refused(reason::ledger_full, m_configuration.start_horizon);
    return std::nullopt;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
typename target_gate<Limit, Safeguards>::optional_result
target_gate<Limit, Safeguards>::check_ticket(const submission& work,
                                             instant now) const
{
    if (!Safeguards::has_incarnation_check)
        return std::nullopt;
    // The ticket was issued before the request was first sent. If another
    // process had run the request, the ticket would name that process. If this
    // process had run it, the ledger would still hold the key, as the ticket
    // is younger than the horizon.
    if (work.presented_ticket->target != m_self.target ||
        work.presented_ticket->incarnation != m_self.incarnation)
        return unknown_outcome(reason::ticket_of_other_incarnation);
    if (!m_tickets.is_recent(work.presented_ticket->serial, now,
                             m_configuration.start_horizon))
        return unknown_outcome(reason::ticket_expired);
    return std::nullopt;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
typename target_gate<Limit, Safeguards>::optional_result
target_gate<Limit, Safeguards>::check_without_ticket(const submission& work,
                                                     const digest& key,
                                                     instant now) const
{
    const instant quarantine_end =
        m_self.started + m_configuration.start_horizon;
    // An earlier process of this target may have run the request and then
    // crashed, losing its ledger. No caller resends after the horizon, so later
    // submissions belong to new requests.
    if (Safeguards::has_restart_quarantine && now < quarantine_end)
        return unknown_outcome(reason::owner_restarted, quarantine_end - now);
    if (!Safeguards::has_ownership_check)
        return std::nullopt;
    if (!m_ownership.is_owner(key, work.renounced_by) ||
        m_ownership.had_other_owner(key, work.renounced_by, now,
                                    m_configuration.start_horizon +
                                        m_configuration.adoption_bound))
        return unknown_outcome(reason::ownership_moved,
                               m_configuration.start_horizon);
    return std::nullopt;
}

} // namespace mangofold::decision
