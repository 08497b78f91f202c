#pragma once

#include <spdlog/spdlog.h>

#include <string>

namespace mangofold::runtime
{

/// Starts structured logs on standard error: one JSON object a line, with
/// the process's role and id. Returns whether \a level is known.
bool start_log(const std::string& role, const std::string& id,
               const std::string& level);

/// Starts structured logs on standard output that never make the process
/// wait; flush() of the default logger writes what has come. Returns whether
/// \a level is known.
bool start_bounded_log(const std::string& role, const std::string& id,
                       const std::string& level);

} // namespace mangofold::runtime
