#include "decision/streams/version_reports.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// Returns the versions that had targets when \a seen was last updated.
std::set<stream_origin> listed_versions(const version_observation& seen)
{
    instant newest{};
    for (const auto& [origin, last_seen] : seen.last_seen)
        newest = std::max(newest, last_seen);
    std::set<stream_origin> listed;
    for (const auto& [origin, last_seen] : seen.last_seen)
        if (last_seen == newest)
            listed.insert(origin);
    return listed;
}

} // namespace

// A version that is back counts as a new one: record keepers know it as one
// that is gone.
bool version_reports::take_due(const version_observation& seen,
                               duration interval, instant now)
{
    const std::set<stream_origin> listed = listed_versions(seen);
    const bool is_due = !m_sent_at || now >= *m_sent_at + interval ||
                        !std::ranges::includes(m_sent, listed);
    if (!is_due)
        return false;
    m_sent_at = now;
    m_sent = listed;
    return true;
}

bool version_reports::take_new(const stream_origin& origin)
{
    return m_sent.insert(origin).second;
}

} // namespace mangofold::decision
