#pragma once

#include "decision/digest.hpp"

#include <string>
#include <vector>

namespace mangofold::decision
{

/// Returns \a targets in the order in which they own \a key, by rendezvous
/// hashing over their published ids.
std::vector<std::string> owner_order(const digest& key,
                                     std::vector<std::string> targets);

} // namespace mangofold::decision
