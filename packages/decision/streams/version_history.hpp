#pragma once

#include "decision/streams/stream_origin.hpp"
#include "decision/time.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace mangofold::decision
{

/// What one process has seen of the list of targets in a span of time.
struct version_observation
{
    instant since{}; ///< From then on, the list was followed without a gap.
    instant until{};
    std::map<stream_origin, instant> last_seen;
    /// Of the list: all changes up to it were seen. 0 if it is not known.
    std::uint64_t revision = 0;

    friend bool operator==(const version_observation&,
                           const version_observation&) = default;
};

/// What an entry answers another one: all targets of a service had one version
/// from before a stream can have begun until the list was last up to date.
struct single_version
{
    std::string version;
    instant until{};

    friend bool operator==(const single_version&,
                           const single_version&) = default;
};

/// Which software versions the targets of each service had lately. While a
/// service has had a single one for as long as any stream can live, the origin
/// of a stream of that service is certain although no entry recorded it.
class version_history
{
public:
    /// Interval of the calls of note_versions().
    static constexpr duration interval = std::chrono::seconds(1);

    /// Notes that the list of targets is followed from \a now and from the
    /// revision \a revision on without a gap; targets may have come and gone
    /// unseen before.
    void note_gap(instant now, std::uint64_t revision = 0);

    /// Notes that changes of the list were missed, until note_gap().
    void note_missed();

    /// Notes that all changes of the list up to \a at and to \a revision have
    /// been seen by this process itself.
    void note_up_to_date(instant at, std::uint64_t revision = 0)
    {
        m_revision = std::max(m_revision, revision);
        m_followed_until = std::max(m_followed_until, at);
        m_up_to_date_at = std::max(m_up_to_date_at, at);
    }

    /// Returns up to when this process itself has seen all changes.
    instant up_to_date_at() const { return m_up_to_date_at; }

    /// Notes the versions that targets had since the last call.
    void note_versions(const std::set<stream_origin>& seen, instant now);

    /// Notes that a stream began at \a origin.
    void note_stream(const stream_origin& origin, instant began_at)
    {
        note_last_seen({{origin, began_at}});
    }

    /// Notes versions with when they were last seen.
    void note_last_seen(const std::map<stream_origin, instant>& seen);

    /// The longest time between two observations that may become one.
    static constexpr duration max_unobserved = std::chrono::seconds(10);

    /// Adds what another process has seen. A span that ended before the one
    /// known here began is added once the changes between them were read.
    void merge(const version_observation& other);

    /// Whether a span waits for that.
    bool is_unread() const { return m_earlier.has_value(); }

    /// Returns after which revision the changes are to be read, or nothing.
    std::optional<std::uint64_t> unread_after() const;

    /// Notes the versions of the targets that were written after the revision
    /// \a after until now, and adds the span that waits if it reaches as far.
    void note_read(std::uint64_t after, const std::set<stream_origin>& written);

    /// Notes that the changes after \a revision can't be read any more.
    void note_unreadable(std::uint64_t revision)
    {
        m_unreadable = std::max(m_unreadable, revision);
    }

    /// Forgets versions that were last seen long ago.
    void expire(instant now);

    /// Returns what is known of the last span without a gap, or nothing.
    std::optional<version_observation> observation() const;

    /// Whether another version than that of \a origin was seen for its service
    /// in the last \a lifetime.
    bool has_other_version(const stream_origin& origin, duration lifetime,
                           instant now) const;

    /// Returns the version that all targets of \a service had for at least
    /// \a lifetime before \a now as far as the list has been seen, or nothing.
    std::optional<std::string> only_seen_version(const std::string& service,
                                                 duration lifetime,
                                                 instant now) const;

    /// Returns the same for a stream that was taken up at \a taken_up_at, or
    /// nothing unless the list has been up to date since then.
    std::optional<std::string> only_version(const std::string& service,
                                            duration lifetime,
                                            instant taken_up_at) const;

    /// Whether what another entry has seen and what this process has seen since
    /// leave no other version than that of \a answer.
    bool confirms(const single_version& answer, const std::string& service,
                  duration lifetime, instant taken_up_at) const;

private:
    /// What was followed by another process before this span.
    struct earlier_span
    {
        instant since{};
        instant until{};
        std::uint64_t revision = 0;

        friend bool operator==(const earlier_span&,
                               const earlier_span&) = default;
    };

    void replace_by(const version_observation& other);
    void join(const version_observation& other);
    void note_earlier(const version_observation& other);
    void join_earlier(instant since);

    std::optional<instant> m_followed_since;
    instant m_followed_until{};
    std::uint64_t m_revision = 0; ///< At the end of the span.
    std::optional<earlier_span> m_earlier;
    std::uint64_t m_unreadable = 0; ///< Changes after it or less are lost.
    instant m_up_to_date_at{};
    std::map<stream_origin, instant> m_last_seen;
};

} // namespace mangofold::decision
