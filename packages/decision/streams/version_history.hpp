#pragma once

#include "decision/streams/stream_origin.hpp"
#include "decision/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace mangofold::decision
{

/// Which software versions the targets of each service had lately. While a
/// service has had a single one for as long as any stream can live, the origin
/// of a stream of that service is certain although no entry recorded it.
class version_history
{
public:
    /// Interval of the calls of note_versions().
    static constexpr duration interval = std::chrono::seconds(1);

    /// Notes that the list of targets is followed from \a now on without a gap;
    /// targets may have come and gone unseen before.
    void note_gap(instant now) { m_followed_since = now; }

    /// Notes the versions that targets had since the last call.
    void note_versions(const std::set<stream_origin>& seen, instant now);

    /// Returns the version that all targets of \a service had for at least
    /// \a lifetime, or nothing.
    std::optional<std::string> only_version(const std::string& service,
                                            duration lifetime,
                                            instant now) const;

private:
    std::optional<instant> m_followed_since;
    std::map<stream_origin, instant> m_last_seen;
};

} // namespace mangofold::decision
