#pragma once

#include "manifest/parse.hpp"

#include <vector>

namespace mangofold::manifest
{

/// Returns the faults between the parts of \a value: unknown references,
/// doubled ids, times that contradict each other.
std::vector<fault> check(const document& value);

} // namespace mangofold::manifest
