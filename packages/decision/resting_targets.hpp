#pragma once

#include "decision/target_incarnation.hpp"
#include "decision/time.hpp"

#include <cstddef>
#include <unordered_map>

namespace mangofold::decision
{

/// The targets that refused a request of this process and asked it to send no
/// more for a time.
class resting_targets
{
public:
    /// Notes that \a target asked for \a rest from \a now on. Returns whether
    /// it was not resting already.
    bool note_rest(const target_incarnation& target, duration rest,
                   instant now);

    /// Returns when \a target may get the next request: \a now if it does not
    /// rest.
    instant rests_until(const target_incarnation& target, instant now) const;

    /// Whether any target may be resting.
    bool has_any() const { return !m_rests_until.empty(); }

    /// Returns the number of targets that are recorded as resting.
    std::size_t size() const { return m_rests_until.size(); }

    /// Removes the targets whose rest is over.
    void expire(instant now);

private:
    std::unordered_map<target_incarnation, instant> m_rests_until;
};

} // namespace mangofold::decision
