#pragma once

#include "manifest/parse.hpp"

#include <vector>

namespace mangofold::manifest
{

/// The longest time for which a sidecar's grant lets work start.
constexpr decision::duration grant_lifetime = std::chrono::seconds(2);

/// Returns the faults between the parts of \a value: unknown references,
/// doubled ids, times that contradict each other.
std::vector<fault> check(const document& value);

} // namespace mangofold::manifest
