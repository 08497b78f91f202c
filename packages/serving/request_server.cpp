#include "serving/request_server.hpp"

#include "runtime/event.hpp"
#include "serving/exchange.hpp"

#include <boost/asio/ip/address_v4.hpp>

namespace mangofold::serving
{

void listen_at(tcp::acceptor& acceptor, const runtime::address& address)
{
    const tcp::endpoint endpoint(asio::ip::make_address_v4(address.host),
                                 address.port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    // As many connections as may arrive at once after an outage of all entries.
    constexpr int backlog = 1024;
    acceptor.listen(backlog);
}

request_server::request_server(entry_context& context)
    : m_context(context), m_acceptor(context.loop)
{
    listen_at(m_acceptor, context.settings.caller_address);
    // Connections wait in the backlog from now on, and the first timer of the
    // loop may run much later.
    context.loop_lag.note_timer_run(context.now());
}

// The sessions that wait for memory end with the event loop, in any order.
request_server::~request_server()
{
    m_context.bodies.account().drop_waiting();
}

// Each request in progress has a connection to a target, and each other entry
// one in each direction.
decision::connection_admission::load request_server::load() const
{
    return {loop_lag(),
            m_connections + m_in_progress + 2 * m_context.responding_entries,
            m_context.settings.max_descriptors,
            m_context.responding_entries > 1};
}

// Callers of a connection that is closed unread try another entry at once, also
// with requests that must not be repeated.
bool request_server::should_take_connection()
{
    if (decision::connection_admission::lacks_descriptors(load()))
        close_idle_connections();
    if (m_admission.accept(load(), m_context.now()))
        return true;
    ++m_context.metrics.count({"connections_declined", ""});
    return false;
}

awaitable<void> request_server::run()
{
    for (;;)
    {
        error_code fault;
        tcp::socket socket =
            co_await m_acceptor.async_accept(store_error_in(fault));
        if (fault)
        {
            // The usual cause is a lack of file descriptors; some may be closed
            // until the next attempt.
            runtime::event("accept_failed")
                .with("fault", fault.message())
                .warn();
            loop_timer timer(m_context.loop, duration(10000000));
            co_await timer.async_wait(store_error_in(fault));
            continue;
        }
        if (!should_take_connection())
            continue;
        auto session = std::make_shared<caller_session>(
            m_context.loop, std::move(socket), *this);
        constexpr std::size_t sweep_threshold = 256;
        if (m_sessions.size() >= sweep_threshold)
            std::erase_if(m_sessions,
                          [](const auto& weak) { return weak.expired(); });
        m_sessions.push_back(session);
        spawn(m_context.loop, run_session(std::move(session)));
    }
}

awaitable<void>
request_server::run_session(std::shared_ptr<caller_session> session)
{
    ++m_connections;
    try
    {
        co_await session->run();
    }
    catch (const std::exception& fault)
    {
        runtime::event("session_failed").with("fault", fault.what()).error();
        session->reset_connection();
    }
    --m_connections;
}

awaitable<void> request_server::handle(std::shared_ptr<caller_session> session,
                                       http_request request,
                                       request_body_ptr body)
{
    exchange handling(m_context, std::move(session), std::move(request),
                      std::move(body));
    co_await run_exchange(handling, handling.run());
}

awaitable<void> request_server::run_exchange(exchange& handling,
                                             awaitable<void> task)
{
    ++m_in_progress;
    std::exception_ptr fault;
    try
    {
        co_await std::move(task);
    }
    catch (const std::exception& thrown)
    {
        fault = std::current_exception();
        handling.note_failure(thrown.what());
    }
    --m_in_progress;
    if (fault)
        std::rethrow_exception(fault);
}

body_terms request_server::judge_head(std::shared_ptr<caller_session> session,
                                      const http_request& head)
{
    return exchange(m_context, std::move(session), head, nullptr).judge_head();
}

awaitable<void>
request_server::refuse_unread(std::shared_ptr<caller_session> session,
                              http_request head)
{
    exchange handling(m_context, std::move(session), std::move(head), nullptr);
    co_await run_exchange(handling, handling.refuse_unread());
}

catalog::caller_limits request_server::limits() const
{
    return m_context.catalog ? m_context.catalog->content().limits
                             : catalog::caller_limits{};
}

void request_server::reject_unsent()
{
    for (const auto& weak : m_sessions)
        if (const auto session = weak.lock())
            session->note_shutdown();
}

void request_server::log_cut_answers()
{
    for (const auto& weak : m_sessions)
        if (const auto session = weak.lock())
            session->note_exit();
}

void request_server::close_idle_connections()
{
    for (const auto& weak : m_sessions)
        if (const auto session = weak.lock())
            session->close_if_idle();
}

} // namespace mangofold::serving
