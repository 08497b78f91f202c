#pragma once

#include "decision/time.hpp"

#include <array>

namespace mangofold::decision
{

/// How far behind a loop is that does everything one after the other, from
/// when its own timer got its turn.
class turn_lateness
{
public:
    /// \a interval is what the timer is set to, each time anew.
    explicit turn_lateness(duration interval) : m_interval(interval) {}

    /// Notes that the timer got its turn.
    void note_turn(instant now);

    /// Returns how long something that is found at \a now may have waited
    /// unseen, beyond the moments that it takes in a loop that is in time.
    duration late(instant now) const;

private:
    /// A new connection is found, taken and read in three turns.
    static constexpr std::size_t turns = 4;

    duration m_interval;
    std::array<instant, turns> m_turns{}; ///< The newest first.
    std::size_t m_known = 0;
};

} // namespace mangofold::decision
