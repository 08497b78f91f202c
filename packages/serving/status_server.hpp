#pragma once

#include "serving/entry_context.hpp"

#include <functional>
#include <string>

namespace mangofold::serving
{

/// HTTP server for load balancers and monitoring: answers readiness checks and
/// requests for metrics.
class status_server
{
public:
    struct reply
    {
        unsigned status = 200;
        std::string body;
    };
    /// Returns the reply to a request for \a path.
    using handler = std::function<reply(const std::string& path)>;

    status_server(entry_context& context, const runtime::address& address,
                  handler handle);

    /// Accepts and answers requests. Never returns.
    awaitable<void> run();

private:
    awaitable<void> serve(tcp::socket socket);

    entry_context& m_context;
    tcp::acceptor m_acceptor;
    handler m_handler;
};

} // namespace mangofold::serving
