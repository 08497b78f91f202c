#include "serving/request_server.hpp"

#include "runtime/event.hpp"
#include "serving/exchange.hpp"

#include <boost/asio/ip/address_v4.hpp>

namespace mangofold::serving
{

void listen_at(tcp::acceptor& acceptor, const runtime::address& where)
{
    const tcp::endpoint here(asio::ip::make_address_v4(where.host), where.port);
    acceptor.open(here.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(here);
    // As many as may come at once after all entries were away.
    constexpr int most_waiting = 1024;
    acceptor.listen(most_waiting);
}

request_server::request_server(entry_context& context)
    : m_context(context), m_acceptor(context.loop)
{
    listen_at(m_acceptor, context.settings.caller_address);
}

awaitable<void> request_server::run()
{
    for (;;)
    {
        error_code fault;
        tcp::socket socket = co_await m_acceptor.async_accept(into(fault));
        if (fault)
        {
            // Out of descriptors, mostly: waiting lets some be given back.
            runtime::event("accept_failed")
                .with("fault", fault.message())
                .warn();
            loop_timer timer(m_context.loop, duration(10000000));
            co_await timer.async_wait(into(fault));
            continue;
        }
        auto session = std::make_shared<caller_session>(
            m_context.loop, std::move(socket), *this);
        constexpr std::size_t sweep_at = 256;
        if (m_sessions.size() >= sweep_at)
            std::erase_if(m_sessions,
                          [](const auto& one) { return one.expired(); });
        m_sessions.push_back(session);
        start(m_context.loop, keep(std::move(session)));
    }
}

awaitable<void> request_server::keep(std::shared_ptr<caller_session> session)
{
    ++m_connections;
    try
    {
        co_await session->run();
    }
    catch (const std::exception& fault)
    {
        runtime::event("session_failed").with("fault", fault.what()).error();
        session->break_off();
    }
    --m_connections;
}

awaitable<void> request_server::answer(std::shared_ptr<caller_session> session,
                                       http_request request)
{
    ++m_in_progress;
    std::exception_ptr fault;
    try
    {
        exchange one(m_context, std::move(session), std::move(request));
        co_await one.run();
    }
    catch (...)
    {
        fault = std::current_exception();
    }
    --m_in_progress;
    if (fault)
        std::rethrow_exception(fault);
}

catalog::caller_limits request_server::limits() const
{
    return m_context.catalog ? m_context.catalog->content().limits
                             : catalog::caller_limits{};
}

void request_server::end_unsent()
{
    for (const auto& one : m_sessions)
        if (const auto session = one.lock())
            session->note_ending();
}

void request_server::close_idle()
{
    for (const auto& one : m_sessions)
        if (const auto session = one.lock())
            session->close_if_idle();
}

} // namespace mangofold::serving
