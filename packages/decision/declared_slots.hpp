#pragma once

#include "decision/target_directory.hpp"

#include <cstdint>
#include <vector>

namespace mangofold::decision
{

/// Returns up to how many of its declared slots count for each of \a targets, a
/// service's, when requests are divided among them.
std::uint32_t
max_counted_slots(const std::vector<const listed_target*>& targets);

} // namespace mangofold::decision
