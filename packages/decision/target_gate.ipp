#pragma once

#include "decision/target_gate.hpp"

#include <algorithm>

namespace mangofold::decision
{

template<concurrency_policy Limit, safeguard_set Safeguards>
target_gate<Limit, Safeguards>::target_gate(identity self, bounds limits)
    : m_self(std::move(self)),
      m_grants(m_self.incarnation, limits.grant_lifetime),
      m_ledger({{}, limits.max_ledger_keys, limits.max_ledger_bytes}),
      m_owners(m_self.target)
{
}

template<concurrency_policy Limit, safeguard_set Safeguards>
gate_effects target_gate<Limit, Safeguards>::set_configuration(
    const gate_configuration& value, instant now)
{
    if (value.generation <= m_configuration.generation)
        return {};
    m_configuration = value;
    m_limit.set_slots(value.slots);
    m_queue.set_shares(value.shares);
    m_ledger.set_horizon(value.horizon);
    m_owners.set_targets(value.pool_targets, now);
    return advance(now);
}

template<concurrency_policy Limit, safeguard_set Safeguards>
std::optional<grant_ref>
target_gate<Limit, Safeguards>::issue_grant(link_id link, instant now)
{
    if (is_leaving(now) || m_configuration.generation == 0)
        return std::nullopt;
    return m_grants.issue(link, now);
}

template<concurrency_policy Limit, safeguard_set Safeguards>
std::optional<ticket> target_gate<Limit, Safeguards>::mint_ticket(instant now)
{
    if (is_leaving(now) || m_configuration.generation == 0)
        return std::nullopt;
    return ticket{m_self.target, m_self.incarnation, m_tickets.mint(now)};
}

// The order matters: the clock first, so that a process that wakes late sees
// its own grants lapse before it reads what piled up; then whether this is
// the process that the work is meant for, since only that one may say "not
// run"; then what the ledger knows; then the other refusals.
template<concurrency_policy Limit, safeguard_set Safeguards>
gate_effects target_gate<Limit, Safeguards>::submit(const submission& work,
                                                    instant now)
{
    gate_effects effects = advance(now);
    const digest key = digest_of(work.key);
    optional_result refusal = refuse_other_process(work);
    if (!refusal && !work.is_repeatable &&
        answer_from_ledger(work, key, effects))
        return effects;
    if (!refusal)
        refusal = refuse_generation(work);
    if (!refusal && !work.is_repeatable)
        refusal = refuse_unsafe(work, key, now);
    if (!refusal)
        refusal = refuse_grant(work, key, now);
    if (refusal)
    {
        reply(work, *refusal, effects);
        return effects;
    }
    admit(work, key, now, effects);
    return effects;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
bool target_gate<Limit, Safeguards>::answer_from_ledger(const submission& work,
                                                        const digest& key,
                                                        gate_effects& effects)
{
    if (!Safeguards::has_ledger)
        return false;
    const execution_ledger::record* known = m_ledger.find(key);
    if (known == nullptr)
        return false;
    if (known->status == execution_ledger::state::renounced)
    {
        reply(work, refused(reason::target_leaving), effects);
        return true;
    }
    if (known->request != work.request)
    {
        reply(work, unknown_outcome(reason::request_reused), effects);
        return true;
    }
    if (known->status == execution_ledger::state::forgotten)
    {
        reply(work, unknown_outcome(reason::outcome_forgotten), effects);
        return true;
    }
    if (known->status == execution_ledger::state::ended)
    {
        stage_result replayed = known->outcome;
        replayed.is_replayed = true;
        reply(work, replayed, effects);
        return true;
    }
    const auto open = std::find_if(m_runs.begin(), m_runs.end(),
                                   [&](const auto& one) {
                                       return !one.second.work.is_repeatable &&
                                              one.second.key == key;
                                   });
    if (open != m_runs.end())
        open->second.waiters.push_back({work.ref, work.attempt});
    return true;
}

// An earlier process of this target may have run the request. Any refusal by
// this one, for whatever reason, would read as "not run" to the entry.
template<concurrency_policy Limit, safeguard_set Safeguards>
typename target_gate<Limit, Safeguards>::optional_result
target_gate<Limit, Safeguards>::refuse_other_process(
    const submission& work) const
{
    const bool is_other = work.pinned_incarnation != 0 &&
                          work.pinned_incarnation != m_self.incarnation;
    if (Safeguards::has_incarnation && !work.is_repeatable && is_other)
        return unknown_outcome(reason::incarnation_changed);
    return std::nullopt;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
typename target_gate<Limit, Safeguards>::optional_result
target_gate<Limit, Safeguards>::refuse_generation(const submission& work) const
{
    if (m_configuration.generation == 0)
        return refused(reason::not_ready);
    if (!Safeguards::has_generations)
        return std::nullopt;
    // An entry that missed a change would run a stage as it no longer
    // stands; it gets the newer generation along with this refusal.
    if (work.generation < m_configuration.generation)
        return refused(reason::generation_behind);
    if (work.generation > m_configuration.generation)
        return refused(reason::generation_ahead);
    return std::nullopt;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
typename target_gate<Limit, Safeguards>::optional_result
target_gate<Limit, Safeguards>::refuse_grant(const submission& work,
                                             const digest& key, instant now)
{
    if (is_leaving(now) && Safeguards::has_leaving)
    {
        // The entry may now turn to the next owner of the key, so an older
        // sending that still arrives here must find the door closed.
        if (!work.is_repeatable && Safeguards::has_renouncing)
            m_ledger.renounce(key, now);
        return refused(reason::target_leaving);
    }
    if (Safeguards::has_grants &&
        !m_grants.is_live(work.ref.link, work.grant, now))
        return refused(reason::grant_lapsed);
    return std::nullopt;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
typename target_gate<Limit, Safeguards>::optional_result
target_gate<Limit, Safeguards>::refuse_unsafe(const submission& work,
                                              const digest& key, instant now)
{
    optional_result refusal = work.dated_by ? refuse_dated(work, now)
                                            : refuse_undated(work, key, now);
    if (refusal)
        return refusal;
    if (!m_ledger.has_room(now))
        return refused(reason::ledger_full, m_configuration.horizon);
    return std::nullopt;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
typename target_gate<Limit, Safeguards>::optional_result
target_gate<Limit, Safeguards>::refuse_dated(const submission& work,
                                             instant now) const
{
    if (!Safeguards::has_incarnation)
        return std::nullopt;
    // The ticket was minted before the request was first sent. Had another
    // process run it, the ticket would name that one; had this one run it,
    // the ledger would still know, as the ticket is young.
    if (work.dated_by->target != m_self.target ||
        work.dated_by->incarnation != m_self.incarnation)
        return unknown_outcome(reason::ticket_of_other_incarnation);
    if (!m_tickets.is_young(work.dated_by->serial, now,
                            m_configuration.horizon))
        return unknown_outcome(reason::ticket_expired);
    return std::nullopt;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
typename target_gate<Limit, Safeguards>::optional_result
target_gate<Limit, Safeguards>::refuse_undated(const submission& work,
                                               const digest& key,
                                               instant now) const
{
    const instant safe_from = m_self.started + m_configuration.horizon;
    // An earlier process of this target may have run the request and then
    // died with its memory. No caller resends after the horizon, so what
    // arrives later is new.
    if (Safeguards::has_quarantine && now < safe_from)
        return unknown_outcome(reason::owner_restarted, safe_from - now);
    if (!Safeguards::has_moved_ownership)
        return std::nullopt;
    if (!m_owners.is_owner(key, work.renounced_by) ||
        m_owners.has_moved(key, work.renounced_by, now,
                           m_configuration.horizon + m_configuration.adoption))
        return unknown_outcome(reason::ownership_moved,
                               m_configuration.horizon);
    return std::nullopt;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
void target_gate<Limit, Safeguards>::admit(const submission& work,
                                           const digest& key, instant now,
                                           gate_effects& effects)
{
    const instant expires = now + work.budget;
    const run_id id = m_next_run++;
    const queued_work queued{id, work.priority, work.key.account, work.weight,
                             expires};
    const reason why = m_queue.push(queued, now, m_limit.limit(),
                                    expected_service(work.priority));
    if (why != reason::none)
    {
        reply(work, refused(why, come_back_after(work.priority)), effects);
        return;
    }
    if (!work.is_repeatable)
        m_ledger.open(key, work.request, now);
    m_runs.emplace(
        id, run{work, key, expires, {}, false, {{work.ref, work.attempt}}});
    start_runs(now, effects);
}

template<concurrency_policy Limit, safeguard_set Safeguards>
void target_gate<Limit, Safeguards>::start_runs(instant now,
                                                gate_effects& effects)
{
    while (auto next = m_queue.pop(now, m_limit.limit()))
    {
        run& one = m_runs.at(next->id);
        one.is_started = true;
        one.started = now;
        m_queue.run_started(next->priority);
        effects.push_back(start_run{next->id, one.work.key, one.work.attempt,
                                    one.work.is_repeatable, next->priority,
                                    one.work.model, std::move(one.work.body),
                                    one.expires - now});
    }
}

template<concurrency_policy Limit, safeguard_set Safeguards>
gate_effects target_gate<Limit, Safeguards>::finish(run_id id,
                                                    const stage_result& result,
                                                    instant now)
{
    gate_effects effects;
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return effects;
    const run& one = found->second;
    const work_class priority = one.work.priority;
    m_queue.run_ended(priority);
    const bool is_good = result.status == stage_status::done;
    m_limit.run_ended(now - one.started, m_queue.running(), is_good);
    if (is_good)
    {
        duration& average = m_service[static_cast<std::size_t>(priority)];
        const duration measured = now - one.started;
        average = average == duration::zero()
                      ? measured
                      : average + (measured - average) / 8;
    }
    if (!one.work.is_repeatable)
    {
        if (result.status == stage_status::refused)
            m_ledger.withdraw(one.key);
        else
            m_ledger.end(one.key, result, now);
    }
    send(one, result, effects);
    m_runs.erase(found);
    start_runs(now, effects);
    return effects;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
gate_effects target_gate<Limit, Safeguards>::cancel(const submission_ref& ref,
                                                    instant now)
{
    gate_effects effects = advance(now);
    for (auto& [id, one] : m_runs)
    {
        const auto is_it = [&](const waiter& w) { return w.ref == ref; };
        if (std::any_of(one.waiters.begin(), one.waiters.end(), is_it))
        {
            drop_waiter(id, ref, effects);
            break;
        }
    }
    start_runs(now, effects);
    return effects;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
gate_effects target_gate<Limit, Safeguards>::close_link(link_id link,
                                                        instant now)
{
    m_grants.revoke(link);
    gate_effects effects = advance(now);
    std::vector<std::pair<run_id, submission_ref>> left;
    for (const auto& [id, one] : m_runs)
        for (const waiter& w : one.waiters)
            if (w.ref.link == link)
                left.emplace_back(id, w.ref);
    for (const auto& [id, ref] : left)
        drop_waiter(id, ref, effects);
    start_runs(now, effects);
    return effects;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
void target_gate<Limit, Safeguards>::drop_waiter(run_id id,
                                                 const submission_ref& ref,
                                                 gate_effects& effects)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    run& one = found->second;
    std::erase_if(one.waiters, [&](const waiter& w) { return w.ref == ref; });
    if (!one.waiters.empty())
        return;
    if (one.is_started)
    {
        // A run that may not be repeated ends and is remembered: a resend
        // then gets its outcome.
        if (one.work.is_repeatable)
            effects.push_back(cancel_run{id});
        return;
    }
    m_queue.remove(id);
    if (!one.work.is_repeatable)
        m_ledger.withdraw(one.key);
    m_runs.erase(found);
}

template<concurrency_policy Limit, safeguard_set Safeguards>
gate_effects target_gate<Limit, Safeguards>::advance(instant now)
{
    gate_effects effects;
    m_ledger.drop_old_outcomes(now);
    refuse_queued(m_queue.take_expired(now), reason::too_late, now, effects);
    return effects;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
gate_effects target_gate<Limit, Safeguards>::set_stopping(instant now)
{
    m_is_stopping = true;
    return stop_new_work(now);
}

// The platform's list lags: it can still call a target leaving whose
// instance was replaced in the meantime. The mark therefore ends by itself
// unless it is repeated; the replacement would otherwise refuse work for
// ever.
template<concurrency_policy Limit, safeguard_set Safeguards>
gate_effects target_gate<Limit, Safeguards>::set_leaving(instant now,
                                                         instant until)
{
    const bool was_leaving = is_leaving(now);
    m_leaving_until = std::max(m_leaving_until, until);
    return was_leaving ? gate_effects{} : stop_new_work(now);
}

template<concurrency_policy Limit, safeguard_set Safeguards>
gate_effects target_gate<Limit, Safeguards>::stop_new_work(instant now)
{
    gate_effects effects;
    if (!Safeguards::has_leaving)
        return effects;
    m_grants.revoke_all();
    refuse_queued(m_queue.take_all(), reason::target_leaving, now, effects);
    return effects;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
void target_gate<Limit, Safeguards>::refuse_queued(
    const std::vector<queued_work>& queued, reason why, instant now,
    gate_effects& effects)
{
    for (const queued_work& work : queued)
    {
        const auto found = m_runs.find(work.id);
        const run& one = found->second;
        if (!one.work.is_repeatable)
        {
            m_ledger.withdraw(one.key);
            if (why == reason::target_leaving)
                m_ledger.renounce(one.key, now);
        }
        send(one, refused(why, come_back_after(one.work.priority)), effects);
        m_runs.erase(found);
    }
}

template<concurrency_policy Limit, safeguard_set Safeguards>
void target_gate<Limit, Safeguards>::send(const run& from,
                                          const stage_result& result,
                                          gate_effects& effects) const
{
    for (const waiter& w : from.waiters)
        effects.push_back(send_result{w.ref, from.work.key, w.attempt, result});
}

template<concurrency_policy Limit, safeguard_set Safeguards>
target_load target_gate<Limit, Safeguards>::load() const
{
    target_load value;
    value.running = static_cast<std::uint32_t>(m_queue.running());
    value.limit = static_cast<std::uint32_t>(m_limit.limit());
    duration::rep known = 0;
    for (std::size_t index = 0; index < work_class_count; ++index)
    {
        const auto priority = static_cast<work_class>(index);
        value.queued[index] =
            static_cast<std::uint32_t>(m_queue.size(priority));
        value.expected[index] =
            m_service[index] +
            m_queue.expected_wait(priority, m_limit.limit(), m_service[index]);
        value.service += m_service[index];
        known += m_service[index] != duration::zero() ? 1 : 0;
    }
    if (known > 0)
        value.service /= known;
    return value;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
duration
target_gate<Limit, Safeguards>::expected_service(work_class priority) const
{
    return m_service[static_cast<std::size_t>(priority)];
}

template<concurrency_policy Limit, safeguard_set Safeguards>
duration
target_gate<Limit, Safeguards>::come_back_after(work_class priority) const
{
    constexpr duration shortest = std::chrono::milliseconds(100);
    return std::max(shortest,
                    m_queue.expected_wait(priority, m_limit.limit(),
                                          expected_service(priority)));
}

} // namespace mangofold::decision
