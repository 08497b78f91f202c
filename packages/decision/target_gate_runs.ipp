// Queueing, start and end of runs in target_gate. Included by target_gate.hpp.
#pragma once

namespace mangofold::decision
{

template<concurrency_policy Limit, safeguard_set Safeguards>
void target_gate<Limit, Safeguards>::admit(const submission& work,
                                           const digest& key, instant now,
                                           gate_effects& effects)
{
    const instant expires = now + work.budget;
    const run_id id = m_next_run++;
    const queued_work queued{id, work.priority, work.key.account, work.weight,
                             expires};
    const reason cause = m_queue.push(queued, now, m_limit.limit(),
                                      expected_service_time(work.priority));
    if (cause != reason::none)
    {
        reply(work, refused(cause, retry_delay(work.priority)), effects);
        return;
    }
    if (!work.is_repeatable)
        m_ledger.add(key, work.request_digest, now);
    m_runs.emplace(
        id, accepted_run{
                work, key, expires, {}, false, {{work.ref, work.attempt}}});
    start_runs(now, effects);
}

template<concurrency_policy Limit, safeguard_set Safeguards>
void target_gate<Limit, Safeguards>::start_runs(instant now,
                                                gate_effects& effects)
{
    while (auto next = m_queue.pop(now, m_limit.limit()))
    {
        accepted_run& run = m_runs.at(next->id);
        run.is_started = true;
        run.started = now;
        m_queue.run_started(next->priority);
        effects.push_back(start_run{
            next->id, run.work.key, run.work.attempt, run.work.is_repeatable,
            next->priority, run.work.model, std::move(run.work.body),
            run.expires - now, run.work.request_digest});
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
    const accepted_run& run = found->second;
    const work_class priority = run.work.priority;
    m_queue.run_ended(priority);
    const bool is_success = result.status == stage_status::done;
    m_limit.run_ended(now - run.started, m_queue.running(), is_success);
    if (is_success)
    {
        duration& mean =
            m_mean_service_times[static_cast<std::size_t>(priority)];
        const duration measured = now - run.started;
        mean =
            mean == duration::zero() ? measured : mean + (measured - mean) / 8;
    }
    if (!run.work.is_repeatable)
    {
        if (result.status == stage_status::refused)
            m_ledger.remove(run.key);
        else
            m_ledger.set_outcome(run.key, result, now);
    }
    send_to_waiters(run, result, effects);
    m_runs.erase(found);
    start_runs(now, effects);
    return effects;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
gate_effects target_gate<Limit, Safeguards>::cancel(const submission_ref& ref,
                                                    instant now)
{
    gate_effects effects = advance(now);
    for (auto& [id, run] : m_runs)
    {
        const auto is_match = [&](const waiter& waiting)
        { return waiting.ref == ref; };
        if (std::any_of(run.waiters.begin(), run.waiters.end(), is_match))
        {
            remove_waiter(id, ref, effects);
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
    std::vector<std::pair<run_id, submission_ref>> abandoned;
    for (const auto& [id, run] : m_runs)
        for (const waiter& waiting : run.waiters)
            if (waiting.ref.link == link)
                abandoned.emplace_back(id, waiting.ref);
    for (const auto& [id, ref] : abandoned)
        remove_waiter(id, ref, effects);
    start_runs(now, effects);
    return effects;
}

template<concurrency_policy Limit, safeguard_set Safeguards>
void target_gate<Limit, Safeguards>::remove_waiter(run_id id,
                                                   const submission_ref& ref,
                                                   gate_effects& effects)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    accepted_run& run = found->second;
    std::erase_if(run.waiters,
                  [&](const waiter& waiting) { return waiting.ref == ref; });
    if (!run.waiters.empty())
        return;
    if (run.is_started)
    {
        // A non-repeatable run is not cancelled: a resend gets the stored
        // outcome.
        if (run.work.is_repeatable)
            effects.push_back(cancel_run{id});
        return;
    }
    m_queue.remove(id);
    if (!run.work.is_repeatable)
        m_ledger.remove(run.key);
    m_runs.erase(found);
}

} // namespace mangofold::decision
