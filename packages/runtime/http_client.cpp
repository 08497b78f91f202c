#include "runtime/http_client.hpp"

#include "runtime/http_status.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace mangofold::runtime
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using beast::error_code;

constexpr std::chrono::milliseconds min_timeout{1};

/// The interval of the checks for the end of a wait.
constexpr std::chrono::milliseconds check_interval{50};

/// Largest number of interim responses before the response to a request.
constexpr int max_interim_responses = 100;

constexpr std::uint64_t max_response_bytes = 64U << 20U;

/// Largest head, chunk size line or trailer, and how much is read at once.
constexpr std::size_t max_buffer_bytes = 64U << 10U;

http::request<http::string_body> make_message(const address& server,
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

/// Returns what a failed read says of the server: the parser's faults come from
/// bytes that it sent, unless they only state that there are no more.
http_error::kind kind_of(const error_code& read_error)
{
    const bool is_end = read_error == http::error::end_of_stream ||
                        read_error == http::error::partial_message;
    const bool is_invalid =
        !is_end && read_error.category() ==
                       make_error_code(http::error::bad_status).category();
    return is_invalid ? http_error::kind::invalid_answer
                      : http_error::kind::no_answer;
}

} // namespace

class http_client::connection
{
public:
    /// Connects to \a server. Throws http_error.
    connection(const address& server, decision::duration timeout,
               const wait_condition& may_wait)
        : m_stream(m_loop)
    {
        error_code error;
        tcp::resolver resolver(m_loop);
        const auto endpoints =
            resolver.resolve(server.host, std::to_string(server.port), error);
        if (!error)
        {
            m_stream.expires_after(timeout);
            m_stream.async_connect(
                endpoints, [&error](error_code result, const tcp::endpoint&)
                { error = result; });
            run(may_wait);
        }
        if (error)
            throw http_error(http_error::kind::not_connected, error.message());
        m_stream.socket().set_option(tcp::no_delay(true));
    }

    /// Whether the connection can be used for another call: the server has
    /// neither closed the connection nor sent unsolicited data.
    bool is_usable()
    {
        if (!m_is_reusable)
            return false;
        error_code error;
        std::array<char, 1> byte{};
        m_stream.socket().non_blocking(true, error);
        m_stream.socket().receive(asio::buffer(byte), tcp::socket::message_peek,
                                  error);
        return error == asio::error::would_block;
    }

    /// Sends \a message once and returns the response. Throws http_error.
    http_response call(const http::request<http::string_body>& message,
                       decision::duration timeout,
                       const wait_condition& may_wait)
    {
        m_is_reusable = false;
        m_stream.expires_after(timeout);
        error_code error;
        http::async_write(m_stream, message,
                          [&error](error_code result, std::size_t)
                          { error = result; });
        run(may_wait);
        if (error)
            throw http_error(http_error::kind::no_answer, error.message());
        std::optional<response_parser> response;
        for (int interim = 0; interim <= max_interim_responses; ++interim)
        {
            read(response.emplace(), may_wait);
            if (!is_interim_status(response->get().result_int()))
                break;
        }
        if (!is_final_status(response->get().result_int()))
            throw http_error(http_error::kind::invalid_answer,
                             "the response has no valid status");
        // The connection of a server that was killed ends in order, too.
        if (response->need_eof())
            throw http_error(http_error::kind::no_answer,
                             "the response has neither a length nor chunks");
        m_is_reusable = response->get().keep_alive() && m_buffer.size() == 0;
        return {response->get().result_int(),
                std::move(response->get().body())};
    }

private:
    using response_parser = http::response_parser<http::string_body>;

    void read(response_parser& response, const wait_condition& may_wait)
    {
        response.body_limit(max_response_bytes);
        error_code error;
        http::async_read(m_stream, m_buffer, response,
                         [&error](error_code result, std::size_t)
                         { error = result; });
        run(may_wait);
        if (error)
            throw http_error(kind_of(error), error.message());
    }

    void run(const wait_condition& may_wait)
    {
        m_loop.restart();
        while (!m_loop.stopped())
        {
            m_loop.run_for(check_interval);
            if (!may_wait())
                m_stream.cancel();
        }
    }

    asio::io_context m_loop{1};
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer{max_buffer_bytes};
    bool m_is_reusable = true;
};

http_client::http_client(address server) : m_server(std::move(server)) {}

http_client::~http_client() = default;

http_response http_client::get(const std::string& path,
                               decision::duration timeout,
                               const wait_condition& may_wait)
{
    return execute("GET", path, {}, timeout, may_wait);
}

http_response http_client::post(const std::string& path,
                                const std::string& body,
                                decision::duration timeout)
{
    return execute("POST", path, body, timeout, always);
}

// A call is sent only once, even if a reused connection is lost during it: a
// request that crashes its target would crash the target again on a retry.
http_response http_client::execute(const std::string& method,
                                   const std::string& path,
                                   const std::string& body,
                                   decision::duration timeout,
                                   const wait_condition& may_wait)
{
    const decision::duration call_timeout =
        std::max<decision::duration>(timeout, min_timeout);
    if (m_connection && !m_connection->is_usable())
        m_connection.reset();
    if (!m_connection)
        m_connection =
            std::make_unique<connection>(m_server, call_timeout, may_wait);
    try
    {
        return m_connection->call(make_message(m_server, method, path, body),
                                  call_timeout, may_wait);
    }
    catch (const http_error&)
    {
        m_connection.reset();
        throw;
    }
}

} // namespace mangofold::runtime
