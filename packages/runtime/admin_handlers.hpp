#pragma once

#include "runtime/http_server.hpp"
#include "runtime/metrics.hpp"

#include <functional>

namespace mangofold::runtime
{

/// Adds the handlers of the paths /metrics, /healthz, /readyz and /status to
/// \a server. \a counters and all objects that the functions use must outlive
/// the server.
void add_admin_handlers(http_server& server, const metrics& counters,
                        std::function<bool()> is_ready,
                        std::function<http_reply()> status);

} // namespace mangofold::runtime
