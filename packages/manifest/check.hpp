#pragma once

#include "manifest/parse.hpp"

#include <vector>

namespace mangofold::manifest
{

/// Returns the errors of a parsed manifest that a look at a single member does
/// not show: references to undeclared items, duplicate ids and addresses, and
/// values out of range.
std::vector<validation_error> check(const document& manifest);

} // namespace mangofold::manifest
