#pragma once

#include "decision/target_directory.hpp"
#include "decision/target_incarnation.hpp"
#include "decision/time.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace mangofold::decision
{

/// The limits on the request rate that overloaded targets state in their
/// responses. A limit applies to the requests of all entries together, until
/// the target responds without it.
class request_limits
{
public:
    /// Notes that the response of \a target to a request sent at \a sent_at
    /// stated the limit \a per_second, or none. Returns whether that changed
    /// the known limit.
    bool note_response(const target_incarnation& target,
                       std::optional<double> per_second, instant sent_at,
                       instant now);

    /// Returns the limit of \a target in requests per second, if it has one.
    std::optional<double> limit_of(const target_incarnation& target) const;

    /// Whether any target has a limit.
    bool has_any() const { return !m_targets.empty(); }

    /// Returns the number of targets that have a limit.
    std::size_t size() const { return m_targets.size(); }

    /// Removes the limits of targets that may not get requests any more.
    void retain(const target_directory& targets);

private:
    struct state
    {
        double per_second = 0;
        instant stated_at{};
    };

    std::unordered_map<target_incarnation, state> m_targets;
};

} // namespace mangofold::decision
