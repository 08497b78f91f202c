#include "decision/cold_targets.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// The share of the accepted rate that all entries use together. The rest is a
/// reserve for entries that are not known yet and for bursts of requests.
constexpr double used_share = 0.75;

/// A lost target that has not responded for this long is assumed to be gone; if
/// it comes back later, it is listed again.
constexpr duration lost_timeout = std::chrono::seconds(60);

/// Returns the interval between requests from one entry to one cold target.
duration send_interval(const warm_up& limit, std::size_t entries)
{
    const double per_second =
        used_share * std::max(limit.requests_per_second, 0.1) /
        static_cast<double>(std::max<std::size_t>(1, entries));
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / per_second));
}

} // namespace

void cold_targets::note_cold(const target_incarnation& target, duration left,
                             instant now)
{
    if (left <= duration::zero())
        return;
    state& cold = m_targets[target];
    cold.cold_until = std::max(cold.cold_until, now + left);
}

void cold_targets::note_lost(const target_incarnation& target, instant now)
{
    m_targets[target].lost_at = now;
}

void cold_targets::note_answered(const target_incarnation& target,
                                 duration warm_up_period, instant now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || !found->second.lost_at)
        return;
    found->second.lost_at.reset();
    found->second.cold_until =
        std::max(found->second.cold_until, now + warm_up_period);
}

bool cold_targets::is_cold(const state& target, instant now)
{
    return target.cold_until > now ||
           (target.lost_at && *target.lost_at + lost_timeout > now);
}

bool cold_targets::is_cold(const target_incarnation& target, instant now) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && is_cold(found->second, now);
}

// Entries that see a target turn cold at the same moment would all send at
// once: each starts at a random moment within its interval.
instant cold_targets::next_send(const target_incarnation& target,
                                const warm_up& limit, std::size_t entries,
                                instant now, random_source& random)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || !is_cold(found->second, now))
        return now;
    auto& next = found->second.next_send;
    if (!next)
        next = now +
               duration(static_cast<duration::rep>(
                   static_cast<double>(send_interval(limit, entries).count()) *
                   random.fraction()));
    return std::max(now, *next);
}

void cold_targets::note_sent(const target_incarnation& target,
                             const warm_up& limit, std::size_t entries,
                             instant now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || !is_cold(found->second, now))
        return;
    // Unused sends do not accumulate: they would be sent in a burst later.
    found->second.next_send = now + send_interval(limit, entries);
}

void cold_targets::expire(instant now)
{
    std::erase_if(m_targets, [now](const auto& target)
                  { return !is_cold(target.second, now); });
}

} // namespace mangofold::decision
