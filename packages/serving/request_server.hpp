#pragma once

#include "serving/caller_session.hpp"
#include "serving/entry_context.hpp"

#include <memory>
#include <vector>

namespace mangofold::serving
{

/// Takes the callers' connections and answers their requests.
class request_server : public request_handler
{
public:
    explicit request_server(entry_context& context);

    /// Accepts connections for ever.
    awaitable<void> run();

    awaitable<void> answer(std::shared_ptr<caller_session> session,
                           http_request request) override;
    catalog::caller_limits limits() const override;
    bool is_stopping() const override { return m_context.is_stopping(); }
    duration lateness() const override
    {
        return m_context.loop_lag.lag(m_context.now());
    }

    std::size_t requests_in_progress() const { return m_in_progress; }
    /// Returns the port on which it listens.
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    std::size_t connections() const { return m_connections; }

    /// Closes the connections on which nothing is going on.
    void close_idle();

    /// Ends the requests that no target has got yet, since this process ends.
    void end_unsent();

private:
    awaitable<void> keep(std::shared_ptr<caller_session> session);

    entry_context& m_context;
    tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<caller_session>> m_sessions;
    std::size_t m_in_progress = 0;
    std::size_t m_connections = 0;
};

/// Opens \a acceptor at \a where. Throws boost::system::system_error.
void listen_at(tcp::acceptor& acceptor, const runtime::address& where);

} // namespace mangofold::serving
