#pragma once

#include "decision/digest.hpp"

#include <string>
#include <vector>

namespace mangofold::decision
{

/// Returns \a targets in the order in which they own \a key, first owner first.
/// Uses rendezvous hashing over the target ids, so that entries and sidecars
/// with the same list agree without communication.
std::vector<std::string> owner_order(const digest& key,
                                     std::vector<std::string> targets);

} // namespace mangofold::decision
