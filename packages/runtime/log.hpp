#pragma once

#include <spdlog/spdlog.h>

#include <string>

namespace mangofold::runtime
{

/// Makes the default logger write to standard error: one JSON object a line,
/// with the role and id of the process. Returns whether \a level is a valid
/// log level.
bool start_log(const std::string& role, const std::string& id,
               const std::string& level);

/// Makes the default logger write to standard output through a bounded_sink,
/// so that logging never blocks. The caller must flush the logger regularly.
/// Returns whether \a level is a valid log level.
bool start_nonblocking_log(const std::string& role, const std::string& id,
                           const std::string& level);

} // namespace mangofold::runtime
