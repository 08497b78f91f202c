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

void version_history::note_gap(instant now, std::uint64_t revision)
{
    m_followed_since = now;
    m_followed_until = now;
    m_revision = revision;
    m_earlier.reset();
}

void version_history::note_missed()
{
    m_followed_since.reset();
    m_earlier.reset();
}

// Between two spans a version may have come and gone unreported: entries were
// lost before their report, or an unreachable one began streams. The older span
// is kept for a while, as an entry that reads the changes since then can add
// its own to it.
void version_history::merge(const version_observation& other)
{
    note_last_seen(other.last_seen);
    const bool is_far_newer = other.since > m_followed_until &&
                              other.until > m_followed_until + max_unobserved;
    if (!m_followed_since || is_far_newer)
        replace_by(other);
    else if (other.until < *m_followed_since)
        note_earlier(other);
    else if (other.since <= m_followed_until)
        join(other);
}

void version_history::replace_by(const version_observation& other)
{
    m_followed_since = other.since;
    m_followed_until = other.until;
    m_revision = other.revision;
    m_earlier.reset();
}

void version_history::join(const version_observation& other)
{
    m_followed_until = std::max(m_followed_until, other.until);
    m_revision = std::max(m_revision, other.revision);
    join_earlier(other.since);
}

void version_history::join_earlier(instant since)
{
    m_followed_since = std::min(*m_followed_since, since);
    if (!m_earlier || m_earlier->until < *m_followed_since)
        return;
    m_followed_since = std::min(*m_followed_since, m_earlier->since);
    m_earlier.reset();
}

// The changes since the newest revision are the likeliest to be there.
void version_history::note_earlier(const version_observation& other)
{
    const bool is_near = *m_followed_since <= other.until + max_unobserved;
    const bool is_better = !m_earlier || other.revision > m_earlier->revision ||
                           (other.revision == m_earlier->revision &&
                            other.since < m_earlier->since);
    if (other.revision > 0 && is_near && is_better)
        m_earlier = {other.since, other.until, other.revision};
}

std::optional<std::uint64_t> version_history::unread_after() const
{
    if (!m_earlier || m_earlier->revision <= m_unreadable)
        return std::nullopt;
    return m_earlier->revision;
}

// Changes name no time, and a removal no version. So whatever had targets at
// the end of the earlier span, or was written after it, may have served until
// this one began.
void version_history::note_read(std::uint64_t after,
                                const std::set<stream_origin>& written)
{
    if (!m_earlier || m_earlier->revision < after)
        return;
    std::map<stream_origin, instant> seen;
    for (const stream_origin& origin : written)
        seen[origin] = *m_followed_since;
    for (const auto& [origin, last_seen] : m_last_seen)
        if (last_seen >= m_earlier->until)
            seen[origin] = *m_followed_since;
    note_last_seen(seen);
    join_earlier(m_earlier->until);
}

std::optional<version_observation> version_history::observation() const
{
    if (!m_followed_since)
        return std::nullopt;
    return version_observation{*m_followed_since, m_followed_until, m_last_seen,
                               m_revision};
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
