#include "decision/catch_up.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// The source delivers a change to all entries within a tenth of the adoption
/// time of each other, since watches pause that long after a change. It gets
/// twice that before a peer is asked.
constexpr int source_grace_divisor = 5;

/// A source whose response is arriving gets half of the adoption time; the rest
/// is enough for a copy from a peer.
constexpr int receiving_grace_divisor = 2;

/// Stall timeout and pause double with each copy that does not bring this entry
/// up to date, so that the requested volume stays below what a link can carry.
/// Half of the adoption time is the maximum, so that a peer that becomes
/// reachable again is used in time after any number of failed copies.
constexpr int max_delay_divisor = 2;

} // namespace

void catch_up::note_up_to_date()
{
    m_behind_since.reset();
    m_pending_peer.clear();
    m_stall_timeout = initial_stall_timeout;
    m_pause = initial_pause;
}

duration catch_up::source_grace(source_state source) const
{
    if (!source.is_available)
        return duration::zero();
    return m_adoption_time / (source.is_receiving ? receiving_grace_divisor
                                                  : source_grace_divisor);
}

duration catch_up::backed_off(duration value) const
{
    const duration max_delay =
        std::max(m_adoption_time / max_delay_divisor, initial_stall_timeout);
    return std::min(value * 2, max_delay);
}

bool catch_up::is_stalled(instant now) const
{
    return now >= m_last_progress + m_stall_timeout;
}

bool catch_up::should_request(const std::string& peer, source_state source,
                              instant now)
{
    if (!m_behind_since)
        m_behind_since = now;
    if (!m_pending_peer.empty())
    {
        if (!is_stalled(now))
            return false;
        m_pending_peer.clear();
        m_stall_timeout = backed_off(m_stall_timeout);
    }
    if (now < m_next_request || now < *m_behind_since + source_grace(source))
        return false;
    m_pending_peer = peer;
    m_last_progress = now;
    return true;
}

void catch_up::note_progress(const std::string& peer, instant now)
{
    if (peer == m_pending_peer)
        m_last_progress = now;
}

void catch_up::note_complete(const std::string& peer, instant now)
{
    if (peer != m_pending_peer)
        return;
    m_pending_peer.clear();
    m_next_request = now + m_pause;
    m_pause = backed_off(m_pause);
}

void catch_up::note_unavailable(const std::string& peer)
{
    if (peer == m_pending_peer)
        m_pending_peer.clear();
}

} // namespace mangofold::decision
