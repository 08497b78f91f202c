#pragma once

#include "runtime/http_server.hpp"
#include "runtime/metrics.hpp"

#include <functional>

namespace mangofold::runtime
{

/// Adds /metrics, /healthz, /readyz and /status to \a server, which must not
/// outlive what the arguments refer to.
void add_admin_handlers(http_server& server, const metrics& counters,
                        std::function<bool()> is_ready,
                        std::function<http_reply()> status);

} // namespace mangofold::runtime
