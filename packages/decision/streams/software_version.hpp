#pragma once

#include <string>
#include <string_view>

namespace mangofold::decision
{

/// Returns \a version, or its digest if \a version is long. Versions are
/// compared for equality only, and targets may state text of any length.
std::string bounded_version(std::string_view version);

} // namespace mangofold::decision
