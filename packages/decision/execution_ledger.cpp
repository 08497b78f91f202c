#include "decision/execution_ledger.hpp"

namespace mangofold::decision
{

const execution_ledger::record* execution_ledger::find(const digest& key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

bool execution_ledger::make_room(instant now)
{
    drop_expired_outcomes(now);
    while (m_records.size() >= m_bounds.max_keys)
    {
        // Evicting a key within the horizon would let a resend run again.
        // Refusing new keys costs only availability.
        if (!evict_oldest(now))
            return false;
    }
    return m_body_bytes < m_bounds.max_body_bytes;
}

void execution_ledger::add(const digest& key, const digest& request_digest,
                           instant now)
{
    m_records[key] = record{state::in_progress, request_digest, now, {}};
}

void execution_ledger::set_outcome(const digest& key,
                                   const stage_result& outcome, instant now)
{
    record& stored = m_records[key];
    stored.status = state::ended;
    stored.since = now;
    stored.outcome = outcome;
    m_body_bytes += outcome.body.size();
    m_keys_with_outcome.push_back({key, now});
}

void execution_ledger::renounce(const digest& key, instant now)
{
    if (m_records.contains(key))
        return;
    m_records[key] = record{state::renounced, {}, now, {}};
    add_evictable(key, now);
}

void execution_ledger::drop_expired_outcomes(instant now)
{
    while (!m_keys_with_outcome.empty() &&
           m_keys_with_outcome.front().at + m_bounds.horizon <= now)
    {
        const timed_key oldest = m_keys_with_outcome.front();
        m_keys_with_outcome.pop_front();
        const auto found = m_records.find(oldest.key);
        if (found == m_records.end())
            continue;
        record& stored = found->second;
        m_body_bytes -= stored.outcome.body.size();
        stored.outcome = {};
        stored.status = state::forgotten;
        add_evictable(oldest.key, oldest.at);
    }
}

bool execution_ledger::evict_oldest(instant now)
{
    if (m_evictable_keys.empty())
        return false;
    const timed_key oldest = m_evictable_keys.front();
    if (oldest.at + m_bounds.horizon > now)
        return false;
    m_evictable_keys.pop_front();
    m_records.erase(oldest.key);
    return true;
}

void execution_ledger::add_evictable(const digest& key, instant now)
{
    m_evictable_keys.push_back({key, now});
}

} // namespace mangofold::decision
