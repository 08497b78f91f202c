#include "serving/status_server.hpp"

#include "serving/http.hpp"
#include "serving/request_server.hpp"

#include <array>

namespace mangofold::serving
{

status_server::status_server(entry_context& context,
                             const runtime::address& address, handler handle)
    : m_context(context), m_acceptor(context.loop), m_handler(std::move(handle))
{
    listen_at(m_acceptor, address);
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
    constexpr std::size_t max_request_bytes = 8192;
    for (;;)
    {
        http::request_parser<http::string_body> parser;
        parser.eager(true);
        while (!parser.is_done())
        {
            error_code fault;
            const std::size_t used =
                received.empty() ? 0
                                 : parser.put(asio::buffer(received), fault);
            received.erase(0, used);
            if (fault && fault != http::error::need_more)
                co_return;
            if (parser.is_done())
                break;
            const std::size_t count = co_await socket.async_read_some(
                asio::buffer(chunk), store_error_in(fault));
            if (fault || received.size() > max_request_bytes)
                co_return;
            received.append(chunk.data(), count);
        }
        const reply answer =
            m_handler(std::string(view(parser.get().target())));
        http_fields fields;
        fields.set(http::field::content_type, "text/plain");
        fields.set(http::field::content_length,
                   std::to_string(answer.body.size()));
        const std::string bytes =
            serialize_head(answer.status, fields) + answer.body;
        error_code fault;
        co_await asio::async_write(socket, asio::buffer(bytes),
                                   store_error_in(fault));
        if (fault || !parser.keep_alive())
            co_return;
    }
}

} // namespace mangofold::serving
