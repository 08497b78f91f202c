#include "decision/execution_ledger.hpp"

namespace mangofold::decision
{

const execution_ledger::record* execution_ledger::find(const digest& key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

bool execution_ledger::has_room(instant now)
{
    drop_old_outcomes(now);
    while (m_records.size() >= m_bounds.max_keys)
    {
        // Dropping a key within the horizon would let a resend run again;
        // refusing new keys costs availability only.
        if (!evict_oldest(now))
            return false;
    }
    return m_body_bytes < m_bounds.max_body_bytes;
}

void execution_ledger::open(const digest& key, const digest& request,
                            instant now)
{
    m_records[key] = record{state::open, request, now, {}};
}

void execution_ledger::end(const digest& key, const stage_result& outcome,
                           instant now)
{
    record& entry = m_records[key];
    entry.status = state::ended;
    entry.since = now;
    entry.outcome = outcome;
    m_body_bytes += outcome.body.size();
    m_with_outcome.push_back({key, now});
}

void execution_ledger::renounce(const digest& key, instant now)
{
    if (m_records.contains(key))
        return;
    m_records[key] = record{state::renounced, {}, now, {}};
    note_age(key, now);
}

void execution_ledger::drop_old_outcomes(instant now)
{
    while (!m_with_outcome.empty() &&
           m_with_outcome.front().at + m_bounds.horizon <= now)
    {
        const aged oldest = m_with_outcome.front();
        m_with_outcome.pop_front();
        const auto found = m_records.find(oldest.key);
        if (found == m_records.end())
            continue;
        record& entry = found->second;
        m_body_bytes -= entry.outcome.body.size();
        entry.outcome = {};
        entry.status = state::forgotten;
        note_age(oldest.key, oldest.at);
    }
}

bool execution_ledger::evict_oldest(instant now)
{
    if (m_evictable.empty())
        return false;
    const aged oldest = m_evictable.front();
    if (oldest.at + m_bounds.horizon > now)
        return false;
    m_evictable.pop_front();
    m_records.erase(oldest.key);
    return true;
}

void execution_ledger::note_age(const digest& key, instant now)
{
    m_evictable.push_back({key, now});
}

} // namespace mangofold::decision
