#include "decision/streams/version_history.hpp"

namespace mangofold::decision
{

namespace
{

/// How long versions are remembered; no stream lives longer.
constexpr duration memory = std::chrono::minutes(20);

} // namespace

void version_history::note_versions(const std::set<stream_origin>& seen,
                                    instant now)
{
    for (const stream_origin& origin : seen)
        m_last_seen[origin] = now;
    std::erase_if(m_last_seen, [now](const auto& known)
                  { return known.second + memory < now; });
}

std::optional<std::string>
version_history::only_version(const std::string& service, duration lifetime,
                              instant now) const
{
    const instant since = now - lifetime - interval;
    if (!m_followed_since || *m_followed_since > since || lifetime > memory)
        return std::nullopt;
    std::optional<std::string> only;
    for (const auto& [origin, last_seen] : m_last_seen)
    {
        if (origin.service != service || last_seen < since)
            continue;
        if (only || origin.version.empty())
            return std::nullopt;
        only = origin.version;
    }
    return only;
}

} // namespace mangofold::decision
