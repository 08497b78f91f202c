#include "decision/catch_up.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// The source reaches all entries within a tenth of the bound of each other,
/// since watches rest that long after a change. Twice that is left to it
/// before another entry is asked.
constexpr int waits_per_bound = 5;

/// Where its answer is coming, half of the bound is left to it; the rest is
/// enough for a copy from another entry.
constexpr int receives_per_bound = 2;

/// Patience and pause double with each copy in vain, so that what is asked
/// for falls behind what a link can carry; up to half of the bound, so that
/// after any series of them a way that is whole again is used in time.
constexpr int doubles_per_bound = 2;

} // namespace

void catch_up::note_level()
{
    m_lacking_since.reset();
    m_holder.clear();
    m_patience = first_patience;
    m_pause = first_pause;
}

duration catch_up::wait_for(source_state source) const
{
    if (!source.is_there)
        return duration::zero();
    return m_bound /
           (source.is_receiving ? receives_per_bound : waits_per_bound);
}

duration catch_up::doubled(duration value) const
{
    const duration longest =
        std::max(m_bound / doubles_per_bound, first_patience);
    return std::min(value * 2, longest);
}

bool catch_up::is_stalled(instant now) const
{
    return now >= m_heard_at + m_patience;
}

bool catch_up::asks(const std::string& holder, source_state source, instant now)
{
    if (!m_lacking_since)
        m_lacking_since = now;
    if (!m_holder.empty())
    {
        if (!is_stalled(now))
            return false;
        m_holder.clear();
        m_patience = doubled(m_patience);
    }
    if (now < m_not_before || now < *m_lacking_since + wait_for(source))
        return false;
    m_holder = holder;
    m_heard_at = now;
    return true;
}

void catch_up::note_part(const std::string& holder, instant now)
{
    if (holder == m_holder)
        m_heard_at = now;
}

void catch_up::note_end(const std::string& holder, instant now)
{
    if (holder != m_holder)
        return;
    m_holder.clear();
    m_not_before = now + m_pause;
    m_pause = doubled(m_pause);
}

void catch_up::note_lost(const std::string& holder)
{
    if (holder == m_holder)
        m_holder.clear();
}

} // namespace mangofold::decision
