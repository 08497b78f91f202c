#pragma once

#include "decision/time.hpp"

#include <algorithm>

namespace mangofold::decision
{

/// The longest of the newest durations; an old one fades by a hundredth with
/// each that follows it.
class recent_longest
{
public:
    void add(duration value)
    {
        constexpr int fades_by = 100;
        m_longest = std::max(value, m_longest - m_longest / fades_by);
    }

    /// Returns it, or zero before the first.
    duration value() const { return m_longest; }

private:
    duration m_longest{};
};

} // namespace mangofold::decision
