#pragma once

#include "decision/decaying_max.hpp"
#include "decision/time.hpp"

namespace mangofold::decision
{

/// Recognizes callers of one route that retry a rejected request, by the time
/// that they will still wait: it is shorter than at their first try. This needs
/// no record of rejections, and works at an entry that rejected nothing.
class returning_callers
{
public:
    /// Records that a request will be waited for \a budget, and returns whether
    /// its caller probably retries.
    bool note(duration budget)
    {
        m_largest.add(budget);
        // Callers follow delays of a call's time or more, which take up more
        // than a tenth of the time that they allow.
        constexpr int first_try_percent = 90;
        return budget < m_largest.value() / 100 * first_try_percent;
    }

private:
    decaying_max m_largest;
};

} // namespace mangofold::decision
