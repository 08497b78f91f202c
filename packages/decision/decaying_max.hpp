#pragma once

#include "decision/time.hpp"

#include <algorithm>

namespace mangofold::decision
{

/// Decaying maximum of durations: with each new duration the maximum decays by
/// one hundredth.
class decaying_max
{
public:
    void add(duration value)
    {
        constexpr int decay_divisor = 100;
        m_max = std::max(value, m_max - m_max / decay_divisor);
    }

    /// Returns the decaying maximum, or zero before the first duration.
    duration value() const { return m_max; }

private:
    duration m_max{};
};

} // namespace mangofold::decision
