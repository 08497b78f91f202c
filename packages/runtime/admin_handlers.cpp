#include "runtime/admin_handlers.hpp"

#include <utility>

namespace mangofold::runtime
{

void add_admin_handlers(http_server& server, const metrics& counters,
                        std::function<bool()> is_ready,
                        std::function<http_reply()> status)
{
    server.set_handler(
        "/metrics",
        [&counters](const http_request&) {
            return http_reply{200, "text/plain", counters.text(), 0};
        });
    server.set_handler("/healthz",
                       [](const http_request&) { return http_reply{}; });
    server.set_handler(
        "/readyz",
        [is_ready = std::move(is_ready)](const http_request&) {
            return http_reply{is_ready() ? 200U : 503U, "text/plain", "", 0};
        });
    server.set_handler("/status",
                       [status = std::move(status)](const http_request&)
                       { return status(); });
}

} // namespace mangofold::runtime
