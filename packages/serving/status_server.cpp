#include "serving/status_server.hpp"

#include "serving/http.hpp"
#include "serving/request_server.hpp"

#include <array>

namespace mangofold::serving
{

status_server::status_server(entry_context& context,
                             const runtime::address& where, question ask)
    : m_context(context), m_acceptor(context.loop), m_ask(std::move(ask))
{
    listen_at(m_acceptor, where);
}

awaitable<void> status_server::run()
{
    for (;;)
    {
        error_code fault;
        tcp::socket socket =
            co_await m_acceptor.async_accept(store_error_in(fault));
        if (!fault)
            spawn(m_context.loop, serve(std::move(socket)));
    }
}

awaitable<void> status_server::serve(tcp::socket socket)
{
    std::string received;
    std::array<char, 1024> chunk{};
    constexpr std::size_t most_bytes = 8192;
    for (;;)
    {
        http::request_parser<http::string_body> reading;
        reading.eager(true);
        while (!reading.is_done())
        {
            error_code fault;
            const std::size_t used =
                received.empty() ? 0
                                 : reading.put(asio::buffer(received), fault);
            received.erase(0, used);
            if (fault && fault != http::error::need_more)
                co_return;
            if (reading.is_done())
                break;
            const std::size_t count = co_await socket.async_read_some(
                asio::buffer(chunk), store_error_in(fault));
            if (fault || received.size() > most_bytes)
                co_return;
            received.append(chunk.data(), count);
        }
        const reply said = m_ask(std::string(view(reading.get().target())));
        http_fields fields;
        fields.set(http::field::content_type, "text/plain");
        fields.set(http::field::content_length,
                   std::to_string(said.body.size()));
        const std::string bytes =
            serialize_head(said.status, fields) + said.body;
        error_code fault;
        co_await asio::async_write(socket, asio::buffer(bytes),
                                   store_error_in(fault));
        if (fault || !reading.keep_alive())
            co_return;
    }
}

} // namespace mangofold::serving
