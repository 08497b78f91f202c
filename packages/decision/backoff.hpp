#pragma once

#include "decision/random_source.hpp"
#include "decision/time.hpp"

namespace mangofold::decision
{

/// Exponential backoff with jitter.
class backoff
{
public:
    backoff(duration min_delay, duration max_delay)
        : m_min_delay(min_delay), m_max_delay(max_delay), m_step(min_delay)
    {
    }

    /// Returns half the minimum delay plus a random share of the current step,
    /// then doubles the step up to the maximum delay.
    duration next(random_source& random);

    /// Resets the step to the minimum delay after a success.
    void reset() { m_step = m_min_delay; }

private:
    duration m_min_delay;
    duration m_max_delay;
    duration m_step;
};

inline duration backoff::next(random_source& random)
{
    const auto current_step = static_cast<std::uint64_t>((m_step).count());
    const duration delay =
        m_min_delay / 2 +
        duration(random.below(current_step > 0 ? current_step : 1));
    m_step = m_step * 2 < m_max_delay ? m_step * 2 : m_max_delay;
    return delay;
}

} // namespace mangofold::decision
