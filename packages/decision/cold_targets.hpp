#pragma once

#include "decision/random_source.hpp"
#include "decision/target_incarnation.hpp"
#include "decision/time.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace mangofold::decision
{

/// The reduced load that the targets of a service accept after they started.
struct warm_up
{
    duration period{};              ///< Zero for services without a warm-up.
    double requests_per_second = 0; ///< Accepted by one target meanwhile.

    friend bool operator==(const warm_up&, const warm_up&) = default;
};

/// Limits the rate of requests from this process to targets that are cold.
///
/// A cold target fails under more requests than it accepts, and is cold again
/// after its restart. Each entry keeps to an equal share of the accepted rate,
/// so that no entry needs to know what the others send.
class cold_targets
{
public:
    /// Notes that \a target stays cold for \a left from \a now on.
    void note_cold(const target_incarnation& target, duration left,
                   instant now);

    /// Notes that a response of \a target was lost, or that \a target could
    /// not be reached: it may be restarting.
    void note_lost(const target_incarnation& target, instant now);

    /// Notes that \a target responded: if it was lost, it is cold from now on
    /// for \a warm_up_period, that of its service.
    void note_answered(const target_incarnation& target,
                       duration warm_up_period, instant now);

    /// Whether \a target is assumed to be cold.
    bool is_cold(const target_incarnation& target, instant now) const;

    /// Whether any target is recorded as cold.
    bool has_any() const { return !m_targets.empty(); }

    /// Returns the number of targets that are recorded as cold.
    std::size_t size() const { return m_targets.size(); }

    /// Returns when this process, one of \a entries that together send at the
    /// rate of \a limit, may send the next request to \a target; \a now if the
    /// target is warm.
    instant next_send(const target_incarnation& target, const warm_up& limit,
                      std::size_t entries, instant now, random_source& random);

    /// Notes that a request was sent to \a target.
    void note_sent(const target_incarnation& target, const warm_up& limit,
                   std::size_t entries, instant now);

    /// Removes the targets that are no longer cold.
    void expire(instant now);

private:
    struct state
    {
        instant cold_until{};
        std::optional<instant> lost_at;   ///< Cold from its next response on.
        std::optional<instant> next_send; ///< Drawn at the first query.
    };

    static bool is_cold(const state& target, instant now);

    std::unordered_map<target_incarnation, state> m_targets;
};

} // namespace mangofold::decision
