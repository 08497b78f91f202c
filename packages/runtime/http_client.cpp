#include "runtime/http_client.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>

namespace mangofold::runtime
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using beast::error_code;

constexpr std::chrono::milliseconds shortest_timeout{1};
constexpr std::uint64_t largest_answer = 64U << 20U; // Bytes.

http::request<http::string_body> message_of(const address& server,
                                            const std::string& method,
                                            const std::string& path,
                                            const std::string& body)
{
    constexpr unsigned http_1_1 = 11;
    http::request<http::string_body> message;
    message.version(http_1_1);
    message.method_string(method);
    message.target(path);
    message.set(http::field::host, server.text());
    if (!body.empty())
        message.set(http::field::content_type, "application/json");
    message.body() = body;
    message.prepare_payload();
    return message;
}

} // namespace

class http_client::connection
{
public:
    /// Connects, or throws http_error.
    connection(const address& server, decision::duration timeout)
        : m_stream(m_loop)
    {
        error_code fault;
        tcp::resolver names(m_loop);
        const auto found =
            names.resolve(server.host, std::to_string(server.port), fault);
        if (!fault)
        {
            m_stream.expires_after(timeout);
            m_stream.async_connect(
                found, [&fault](error_code ended, const tcp::endpoint&)
                { fault = ended; });
            run();
        }
        if (fault)
            throw http_error(http_error::kind::not_connected, fault.message());
        m_stream.socket().set_option(tcp::no_delay(true));
    }

    /// Whether a call can be made: the server has neither closed the
    /// connection nor sent anything that nobody asked for.
    bool is_usable()
    {
        if (!m_is_kept)
            return false;
        error_code fault;
        std::array<char, 1> byte{};
        m_stream.socket().non_blocking(true, fault);
        m_stream.socket().receive(asio::buffer(byte), tcp::socket::message_peek,
                                  fault);
        return fault == asio::error::would_block;
    }

    /// Sends \a message once and returns its answer, or throws http_error.
    http_answer call(const http::request<http::string_body>& message,
                     decision::duration timeout)
    {
        m_is_kept = false;
        m_stream.expires_after(timeout);
        error_code fault;
        http::async_write(m_stream, message,
                          [&fault](error_code ended, std::size_t)
                          { fault = ended; });
        run();
        http::response_parser<http::string_body> answer;
        answer.body_limit(largest_answer);
        if (!fault)
        {
            http::async_read(m_stream, m_bytes, answer,
                             [&fault](error_code ended, std::size_t)
                             { fault = ended; });
            run();
        }
        if (fault)
            throw http_error(http_error::kind::no_answer, fault.message());
        m_is_kept = answer.get().keep_alive() && m_bytes.size() == 0;
        return {answer.get().result_int(), std::move(answer.get().body())};
    }

private:
    void run()
    {
        m_loop.restart();
        m_loop.run();
    }

    asio::io_context m_loop{1};
    beast::tcp_stream m_stream;
    beast::flat_buffer m_bytes;
    bool m_is_kept = true;
};

http_client::http_client(address server) : m_server(std::move(server)) {}

http_client::~http_client() = default;

http_answer http_client::get(const std::string& path,
                             decision::duration timeout)
{
    return execute("GET", path, {}, timeout);
}

http_answer http_client::post(const std::string& path, const std::string& body,
                              decision::duration timeout)
{
    return execute("POST", path, body, timeout);
}

// A call is sent once, also on a kept connection that is lost under it: sent
// again, what ends its target would end it a second time.
http_answer http_client::execute(const std::string& method,
                                 const std::string& path,
                                 const std::string& body,
                                 decision::duration timeout)
{
    const decision::duration time =
        std::max<decision::duration>(timeout, shortest_timeout);
    if (m_connection && !m_connection->is_usable())
        m_connection.reset();
    if (!m_connection)
        m_connection = std::make_unique<connection>(m_server, time);
    try
    {
        return m_connection->call(message_of(m_server, method, path, body),
                                  time);
    }
    catch (const http_error&)
    {
        m_connection.reset();
        throw;
    }
}

} // namespace mangofold::runtime
