#pragma once

#include <string>

namespace mangofold::entry
{

/// Checks the manifest in the file \a path and prints every fault. Returns
/// the exit code.
int check_manifest(const std::string& path);

} // namespace mangofold::entry
