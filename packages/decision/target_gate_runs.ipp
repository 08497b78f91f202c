// How the gate queues, starts and ends runs. Included by target_gate.hpp.
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
                                    one.expires - now, one.work.request});
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

} // namespace mangofold::decision
