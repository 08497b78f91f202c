#pragma once

#include "decision/streams/version_history.hpp"

#include <optional>
#include <set>

namespace mangofold::decision
{

/// When an entry tells record keepers which versions it has seen.
class version_reports
{
public:
    /// Returns whether \a seen is to be sent: every \a interval, and at once if
    /// there are targets of a version that had none at the last report. Notes
    /// that it is.
    bool take_due(const version_observation& seen, duration interval,
                  instant now);

    /// Returns whether the version of \a origin, at which a stream begins, has
    /// to be reported at once because no report since the last regular one
    /// contains it. Marks it as reported.
    bool take_new(const stream_origin& origin);

private:
    std::optional<instant> m_sent_at;
    std::set<stream_origin> m_sent; ///< Those that had targets or streams.
};

} // namespace mangofold::decision
