#pragma once

#include "decision/random_source.hpp"
#include "decision/target_incarnation.hpp"
#include "decision/time.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace mangofold::decision
{

/// What a target bears after it started.
struct warm_up
{
    duration time{};       ///< How long it is cold; 0 for services without.
    double per_second = 0; ///< Requests that it bears while it is.

    friend bool operator==(const warm_up&, const warm_up&) = default;
};

/// How many requests targets get from this process while they are cold.
///
/// A cold target ends under more requests than it bears, and comes back cold.
/// Each entry keeps to an equal part of what it bears, so that no entry needs
/// to know what the others send.
class cold_targets
{
public:
    /// Notes that the target \a id stays cold for \a left from \a now on.
    void note_cold(const target_start& id, duration left, instant now);

    /// Notes that an answer of \a id was lost, or that it could not be
    /// reached: it may be starting again.
    void note_lost(const target_start& id, instant now);

    /// Notes that \a id answers: one that was lost is cold from now on, for
    /// the \a time of its service.
    void note_answered(const target_start& id, duration time, instant now);

    /// Whether \a id is taken to be cold.
    bool is_cold(const target_start& id, instant now) const;

    /// Whether any target is.
    bool has_any() const { return !m_targets.empty(); }

    /// Returns the number of targets that are taken to be cold.
    std::size_t size() const { return m_targets.size(); }

    /// Returns when \a id may get its next request from one of \a entries,
    /// all together giving it what \a bears says; at once where it is warm.
    instant next_send(const target_start& id, const warm_up& bears,
                      std::size_t entries, instant now, random_source& random);

    /// Notes that a request was sent to \a id.
    void note_sent(const target_start& id, const warm_up& bears,
                   std::size_t entries, instant now);

    /// Forgets the targets that are warm by now.
    void expire(instant now);

private:
    struct state
    {
        instant cold_until{};
        std::optional<instant> lost_at;   ///< Cold from its next answer on.
        std::optional<instant> next_send; ///< Drawn at the first question.
    };

    static bool is_cold(const state& one, instant now);

    std::unordered_map<target_start, state> m_targets;
};

} // namespace mangofold::decision
