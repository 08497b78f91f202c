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
      m_ownership(m_self.target)
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
    m_queue.set_class_limits(value.queue_limits);
    m_ledger.set_horizon(value.start_horizon);
    m_ownership.set_targets(value.pool_targets, now);
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
std::optional<ticket> target_gate<Limit, Safeguards>::issue_ticket(instant now)
{
    if (is_leaving(now) || m_configuration.generation == 0)
        return std::nullopt;
    return ticket{m_self.target, m_self.incarnation, m_tickets.issue(now)};
}

// The order matters. Time first, so that a process that resumes after a pause
// finds its grants expired before it reads the buffered submissions. Then the
// incarnation, since only the process that the work was sent to can report
// that it did not run. Then the ledger, then the other refusals.
template<concurrency_policy Limit, safeguard_set Safeguards>
gate_effects target_gate<Limit, Safeguards>::submit(const submission& work,
                                                    instant now)
{
    gate_effects effects = advance(now);
    const digest key = digest_of(work.key);
    optional_result refusal = check_incarnation(work);
    if (!refusal && !work.is_repeatable &&
        answer_from_ledger(work, key, effects))
        return effects;
    if (!refusal)
        refusal = check_generation(work);
    if (!refusal && !work.is_repeatable)
        refusal = check_at_most_once(work, key, now);
    if (!refusal)
        refusal = check_grant(work, key, now);
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
    const execution_ledger::record* stored = m_ledger.find(key);
    if (stored == nullptr)
        return false;
    if (stored->status == execution_ledger::state::renounced)
    {
        reply(work, refused(reason::target_leaving), effects);
        return true;
    }
    if (stored->request_digest != work.request_digest)
    {
        reply(work, unknown_outcome(reason::request_reused), effects);
        return true;
    }
    if (stored->status == execution_ledger::state::forgotten)
    {
        reply(work, unknown_outcome(reason::outcome_forgotten), effects);
        return true;
    }
    if (stored->status == execution_ledger::state::ended)
    {
        stage_result replayed = stored->outcome;
        replayed.is_replayed = true;
        reply(work, replayed, effects);
        return true;
    }
    const auto running = std::find_if(
        m_runs.begin(), m_runs.end(),
        [&](const auto& item)
        { return !item.second.work.is_repeatable && item.second.key == key; });
    if (running != m_runs.end())
        running->second.waiters.push_back({work.ref, work.attempt});
    return true;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
gate_effects target_gate<Limit, Safeguards>::advance(instant now)
{
    gate_effects effects;
    m_ledger.drop_expired_outcomes(now);
    refuse_queued(m_queue.take_expired(now), reason::too_late, now, effects);
    return effects;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
gate_effects target_gate<Limit, Safeguards>::set_stopping(instant now)
{
    m_is_stopping = true;
    return stop_new_work(now);
}

// The platform's list lags and can still show a target as leaving after its
// instance was replaced. The leaving state therefore expires unless it is
// renewed; otherwise the replacement would refuse work forever.
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
    if (!Safeguards::has_leaving_refusal)
        return effects;
    m_grants.revoke_all();
    refuse_queued(m_queue.take_all(), reason::target_leaving, now, effects);
    return effects;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
void target_gate<Limit, Safeguards>::refuse_queued(
    const std::vector<queued_work>& queued, reason cause, instant now,
    gate_effects& effects)
{
    for (const queued_work& work : queued)
    {
        const auto found = m_runs.find(work.id);
        const accepted_run& queued_run = found->second;
        if (!queued_run.work.is_repeatable)
        {
            m_ledger.remove(queued_run.key);
            if (cause == reason::target_leaving)
                m_ledger.renounce(queued_run.key, now);
        }
        send_to_waiters(queued_run,
                        refused(cause, retry_delay(queued_run.work.priority)),
                        effects);
        m_runs.erase(found);
    }
}

template<concurrency_policy Limit, safeguard_set Safeguards>
void target_gate<Limit, Safeguards>::send_to_waiters(
    const accepted_run& run, const stage_result& result,
    gate_effects& effects) const
{
    for (const waiter& waiting : run.waiters)
        effects.push_back(
            send_result{waiting.ref, run.work.key, waiting.attempt, result});
}

template<concurrency_policy Limit, safeguard_set Safeguards>
target_load target_gate<Limit, Safeguards>::load() const
{
    target_load value;
    value.running = static_cast<std::uint32_t>(m_queue.running());
    value.limit = static_cast<std::uint32_t>(m_limit.limit());
    duration::rep measured_classes = 0;
    for (std::size_t index = 0; index < work_class_count; ++index)
    {
        const auto priority = static_cast<work_class>(index);
        value.queued[index] =
            static_cast<std::uint32_t>(m_queue.size(priority));
        value.expected_latency[index] =
            m_mean_service_times[index] +
            m_queue.expected_wait(priority, m_limit.limit(),
                                  m_mean_service_times[index]);
        value.service_time += m_mean_service_times[index];
        measured_classes +=
            m_mean_service_times[index] != duration::zero() ? 1 : 0;
    }
    if (measured_classes > 0)
        value.service_time /= measured_classes;
    return value;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
duration
target_gate<Limit, Safeguards>::expected_service_time(work_class priority) const
{
    return m_mean_service_times[static_cast<std::size_t>(priority)];
}

template<concurrency_policy Limit, safeguard_set Safeguards>
duration target_gate<Limit, Safeguards>::retry_delay(work_class priority) const
{
    constexpr duration min_delay = std::chrono::milliseconds(100);
    return std::max(min_delay,
                    m_queue.expected_wait(priority, m_limit.limit(),
                                          expected_service_time(priority)));
}

} // namespace mangofold::decision
