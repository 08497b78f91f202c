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
    expire(now);
}

void version_history::expire(instant now)
{
    std::erase_if(m_last_seen, [now](const auto& known)
                  { return known.second + memory < now; });
}

void version_history::note_last_seen(
    const std::map<stream_origin, instant>& seen)
{
    for (const auto& [origin, seen_at] : seen)
    {
        instant& last_seen =
            m_last_seen.try_emplace(origin, seen_at).first->second;
        last_seen = std::max(last_seen, seen_at);
    }
}

// Entries that are all lost see nothing until one has started again, and no
// stream begins meanwhile. So a short time without observations hides no
// version at which a stream can have begun.
void version_history::merge(const version_observation& other)
{
    note_last_seen(other.last_seen);
    const bool is_adjoining =
        m_followed_since && other.since <= m_followed_until + max_unobserved &&
        *m_followed_since <= other.until + max_unobserved;
    if (is_adjoining)
    {
        m_followed_since = std::min(*m_followed_since, other.since);
        m_followed_until = std::max(m_followed_until, other.until);
    }
    else if (!m_followed_since || other.until > m_followed_until)
    {
        m_followed_since = other.since;
        m_followed_until = other.until;
    }
}

std::optional<version_observation> version_history::observation() const
{
    if (!m_followed_since)
        return std::nullopt;
    return version_observation{*m_followed_since, m_followed_until,
                               m_last_seen};
}

bool version_history::has_other_version(const stream_origin& origin,
                                        duration lifetime, instant now) const
{
    return std::ranges::any_of(
        m_last_seen,
        [&](const auto& known)
        {
            return known.first.service == origin.service &&
                   known.first.version != origin.version &&
                   known.second >= now - lifetime - interval;
        });
}

std::optional<std::string>
version_history::only_seen_version(const std::string& service,
                                   duration lifetime, instant now) const
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

// A stream that is taken up may have begun a moment ago, through another entry
// and at a version that an older list does not show.
std::optional<std::string>
version_history::only_version(const std::string& service, duration lifetime,
                              instant taken_up_at) const
{
    if (m_up_to_date_at < taken_up_at)
        return std::nullopt;
    return only_seen_version(service, lifetime, taken_up_at);
}

// While the other entry stood still or was cut off, a version may have come and
// gone before this process began to follow the list.
bool version_history::confirms(const single_version& answer,
                               const std::string& service, duration lifetime,
                               instant taken_up_at) const
{
    return m_up_to_date_at >= taken_up_at && m_followed_since &&
           *m_followed_since <= answer.until &&
           !has_other_version({service, answer.version}, lifetime, taken_up_at);
}

} // namespace mangofold::decision
