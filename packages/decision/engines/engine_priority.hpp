#pragma once

#include "decision/admission/urgency.hpp"

#include <algorithm>

namespace mangofold::decision
{

/// Returns the priority of a generation at its engine, from 0, the highest, to
/// 8. Engines know ten priorities, so ranks from the third on count as one.
inline unsigned engine_priority(const urgency& value)
{
    constexpr std::uint32_t ranks = 3;
    return std::min(value.account, ranks - 1) * ranks +
           std::min(value.route, ranks - 1);
}

} // namespace mangofold::decision
