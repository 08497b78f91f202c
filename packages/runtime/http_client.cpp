#include "runtime/http_client.hpp"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/timespan.h>

#include <algorithm>
#include <exception>
#include <string_view>

namespace mangofold::runtime
{

namespace
{

constexpr std::chrono::milliseconds shortest_timeout{1};

cxxtools::Milliseconds milliseconds(decision::duration value)
{
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(value);
    return cxxtools::Milliseconds(
        static_cast<double>(std::max(rounded, shortest_timeout).count()));
}

// The library has one exception for all faults; only its text tells that the
// connection was never made. A text that is not known counts as sent, which
// costs a retry and never runs anything twice.
bool is_connect_fault(std::string_view text)
{
    return text.find("while trying to connect") != std::string_view::npos;
}

} // namespace

class http_client::connection
{
public:
    explicit connection(const address& server)
        : m_client(server.host, server.port)
    {
    }

    cxxtools::http::Client& client() { return m_client; }

private:
    cxxtools::http::Client m_client;
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

http_answer http_client::execute(const std::string& method,
                                 const std::string& path,
                                 const std::string& body,
                                 decision::duration timeout)
{
    const bool is_fresh = !m_connection;
    if (is_fresh)
        m_connection = std::make_unique<connection>(m_server);
    try
    {
        cxxtools::http::Request request;
        const std::size_t question = path.find('?');
        request.url(path.substr(0, question));
        if (question != std::string::npos)
            request.qparams(path.substr(question + 1));
        request.method(method);
        if (!body.empty())
            request.setHeader("Content-Type", "application/json");
        request.body() << body;
        cxxtools::http::Client& client = m_connection->client();
        client.execute(request, milliseconds(timeout), milliseconds(timeout));
        const cxxtools::http::Reply& reply = client.readBody();
        return {reply.httpReturnCode(), reply.body()};
    }
    catch (const std::exception& fault)
    {
        m_connection.reset();
        const bool is_unsent = is_fresh && is_connect_fault(fault.what());
        throw http_error(is_unsent ? http_error::kind::not_connected
                                   : http_error::kind::no_answer,
                         fault.what());
    }
}

} // namespace mangofold::runtime
