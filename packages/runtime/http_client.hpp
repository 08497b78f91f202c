#pragma once

#include "decision/time.hpp"
#include "runtime/address.hpp"

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace mangofold::runtime
{

/// Thrown for an HTTP call without a valid response. The kind tells callers
/// whether the server may have received the request.
class http_error : public std::runtime_error
{
public:
    enum class kind
    {
        not_connected, ///< Nothing was sent.
        no_answer,     ///< At least a part may have been sent.
        invalid_answer ///< The server sent bytes that are no valid response.
    };

    http_error(kind failure, const std::string& message)
        : std::runtime_error(message), m_kind(failure)
    {
    }

    kind error_kind() const { return m_kind; }

private:
    kind m_kind;
};

/// The response of a server.
struct http_response
{
    unsigned status = 0;
    std::string body;

    friend bool operator==(const http_response&,
                           const http_response&) = default;
};

/// A blocking HTTP client with one persistent connection, which is opened
/// again when the server has closed it. Calls are never retried, since the
/// server may have executed them. A response with neither a length nor chunks,
/// or without a valid status, is no answer. To be used by one thread at a time.
class http_client
{
public:
    /// Whether a call may go on; it ends soon after this returns false.
    using wait_condition = std::function<bool()>;

    explicit http_client(address server);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Returns the response to a GET or POST of \a path. Throws http_error.
    http_response get(const std::string& path, decision::duration timeout,
                      const wait_condition& may_wait = always);
    http_response post(const std::string& path, const std::string& body,
                       decision::duration timeout);

    const address& server() const { return m_server; }

private:
    static bool always() { return true; }

    http_response execute(const std::string& method, const std::string& path,
                          const std::string& body, decision::duration timeout,
                          const wait_condition& may_wait);

    class connection;

    address m_server;
    std::unique_ptr<connection> m_connection;
};

} // namespace mangofold::runtime
