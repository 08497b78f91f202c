#pragma once

#include <string_view>

namespace mangofold::runtime
{

/// The version of the programs, the same as in the NEWS file.
constexpr std::string_view version = "0.1.0";

} // namespace mangofold::runtime
