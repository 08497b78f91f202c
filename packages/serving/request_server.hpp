#pragma once

#include "decision/admission/connection_admission.hpp"
#include "serving/caller_session.hpp"
#include "serving/entry_context.hpp"

#include <memory>
#include <vector>

namespace mangofold::serving
{

class exchange;

/// The HTTP server for callers: accepts their connections, runs a session on
/// each, and hands every request to an exchange of its own.
class request_server : public request_handler
{
public:
    explicit request_server(entry_context& context);
    ~request_server() override;
    request_server(const request_server&) = delete;
    request_server& operator=(const request_server&) = delete;

    /// Accepts connections until the event loop stops.
    awaitable<void> run();

    awaitable<void> handle(std::shared_ptr<caller_session> session,
                           http_request request,
                           request_body_ptr body) override;
    body_terms judge_head(std::shared_ptr<caller_session> session,
                          const http_request& head) override;
    awaitable<void> refuse_unread(std::shared_ptr<caller_session> session,
                                  http_request head) override;
    const body_memory& bodies() const override { return m_context.bodies; }
    catalog::caller_limits limits() const override;
    bool is_stopping() const override { return m_context.is_stopping(); }
    duration loop_lag() const override
    {
        return m_context.loop_lag.lag(m_context.now());
    }

    /// Returns the number of requests that are being handled.
    std::size_t requests_in_progress() const { return m_in_progress; }

    /// Returns the port on which the server listens.
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    /// Returns the number of open connections.
    std::size_t connections() const { return m_connections; }

    /// Whether this entry should get new connections.
    bool is_ready() const { return m_admission.is_ready(m_context.now()); }

    /// Closes the connections on which no request is being read or handled.
    void close_idle_connections();

    /// Rejects the requests that were not sent to a target yet, since this
    /// process is about to end.
    void reject_unsent();

    /// Logs the requests whose answers the end of this process cuts off.
    void log_cut_answers();

private:
    decision::connection_admission::load load() const;
    /// Whether to take a connection that was just accepted.
    bool should_take_connection();
    awaitable<void> run_session(std::shared_ptr<caller_session> session);
    /// Runs \a task, which handles or refuses the request of \a handling.
    awaitable<void> run_exchange(exchange& handling, awaitable<void> task);

    entry_context& m_context;
    tcp::acceptor m_acceptor;
    decision::connection_admission m_admission;
    std::vector<std::weak_ptr<caller_session>> m_sessions;
    std::size_t m_in_progress = 0;
    std::size_t m_connections = 0;
};

/// Opens \a acceptor and listens at \a address. Throws
/// boost::system::system_error.
void listen_at(tcp::acceptor& acceptor, const runtime::address& address);

} // namespace mangofold::serving
