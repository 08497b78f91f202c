#pragma once

#include "decision/time.hpp"

#include <array>

namespace mangofold::decision
{

/// Measures the lag of a single-threaded event loop by a periodic timer that
/// runs on the loop.
class loop_lag
{
public:
    /// \a interval is the time for which the timer is set after each turn.
    explicit loop_lag(duration interval) : m_interval(interval) {}

    /// Records that the handler of the timer ran at \a now.
    void note_timer_run(instant now);

    /// Returns the lag at \a now: how much longer than in a loop without
    /// backlog an event handled at \a now may have waited.
    duration lag(instant now) const;

private:
    /// A new connection takes three turns until it is detected, accepted and
    /// read.
    static constexpr std::size_t counted_turns = 4;

    duration m_interval;
    std::array<instant, counted_turns> m_turns{}; ///< Newest first.
    std::size_t m_recorded = 0;
};

} // namespace mangofold::decision
