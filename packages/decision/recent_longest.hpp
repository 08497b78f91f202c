#pragma once

#include "decision/time.hpp"

#include <algorithm>

namespace mangofold::decision
{

/// Decaying maximum of durations: with each new duration the maximum decays by
/// one hundredth.
class recent_longest
{
public:
    void add(duration value)
    {
        constexpr int decay_divisor = 100;
        m_longest = std::max(value, m_longest - m_longest / decay_divisor);
    }

    /// Returns the decaying maximum, or zero before the first duration.
    duration value() const { return m_longest; }

private:
    duration m_longest{};
};

} // namespace mangofold::decision
