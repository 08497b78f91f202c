#pragma once

#include "decision/streams/version_history.hpp"

#include <cstddef>
#include <optional>

namespace mangofold::decision
{

/// When an entry tells record keepers which versions it has seen.
class version_reports
{
public:
    /// Returns whether \a seen is to be sent: every \a interval, and at once if
    /// a version is new. Notes that it is.
    bool take_due(const version_observation& seen, duration interval,
                  instant now)
    {
        const bool is_due = !m_sent_at || now >= *m_sent_at + interval ||
                            seen.last_seen.size() > m_sent;
        if (!is_due)
            return false;
        m_sent_at = now;
        m_sent = seen.last_seen.size();
        return true;
    }

private:
    std::optional<instant> m_sent_at;
    std::size_t m_sent = 0; ///< Versions in the last report.
};

} // namespace mangofold::decision
