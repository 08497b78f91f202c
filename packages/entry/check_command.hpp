#pragma once

#include <string>

namespace mangofold::entry
{

/// Returns the exit code of `mangofold-entry check`, which validates the
/// manifest in the file \a path and prints every error found in it.
int check_manifest(const std::string& path);

} // namespace mangofold::entry
