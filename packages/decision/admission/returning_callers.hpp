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
    /// Records that a request will be waited for \a budget. Returns how long
    /// its caller has waited since a probable first try, or zero at a first
    /// try.
    duration note(duration budget)
    {
        m_largest.add(budget);
        m_longest = std::max(m_longest, budget);
        // Callers follow delays of a call's time or more, which take up more
        // than a tenth of the time that they allow.
        constexpr int first_try_percent = 90;
        const bool is_first_try =
            budget >= m_largest.value() / 100 * first_try_percent;
        return is_first_try ? duration::zero() : m_largest.value() - budget;
    }

    /// Whether a caller that will wait for \a budget was rejected before, also
    /// if it returned at once.
    bool has_returned(duration budget) const
    {
        constexpr duration min_retry_time = std::chrono::milliseconds(40);
        return budget + min_retry_time <= m_longest;
    }

private:
    decaying_max m_largest;
    duration m_longest{};
};

} // namespace mangofold::decision
