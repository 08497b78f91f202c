#pragma once

#include "decision/random_source.hpp"
#include "decision/time.hpp"

namespace mangofold::decision
{

/// Growing waits with full jitter between a floor and a ceiling.
class backoff
{
public:
    backoff(duration floor, duration ceiling)
        : m_floor(floor), m_ceiling(ceiling), m_current(floor)
    {
    }

    /// Returns the next wait: at least the floor, at most the current step,
    /// which then doubles up to the ceiling.
    duration next(random_source& random);

    /// Sets the step back to the floor after a success.
    void reset() { m_current = m_floor; }

private:
    duration m_floor;
    duration m_ceiling;
    duration m_current;
};

inline duration backoff::next(random_source& random)
{
    const auto span = static_cast<std::uint64_t>((m_current).count());
    const duration wait =
        m_floor / 2 + duration(random.below(span > 0 ? span : 1));
    m_current = m_current * 2 < m_ceiling ? m_current * 2 : m_ceiling;
    return wait;
}

} // namespace mangofold::decision
