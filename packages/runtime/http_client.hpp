#pragma once

#include "decision/time.hpp"
#include "runtime/address.hpp"

#include <memory>
#include <stdexcept>
#include <string>

namespace mangofold::runtime
{

/// An HTTP call that got no answer.
class http_error : public std::runtime_error
{
public:
    enum class kind
    {
        not_connected, ///< Nothing was sent.
        no_answer      ///< Sent, at least in part, and not answered.
    };

    http_error(kind what, const std::string& text)
        : std::runtime_error(text), m_kind(what)
    {
    }

    kind what_failed() const { return m_kind; }

private:
    kind m_kind;
};

/// What a server answered.
struct http_answer
{
    unsigned status = 0;
    std::string body;

    friend bool operator==(const http_answer&, const http_answer&) = default;
};

/// One HTTP connection, kept between calls. For one thread at a time.
class http_client
{
public:
    explicit http_client(address server);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    http_answer get(const std::string& path, decision::duration timeout);
    http_answer post(const std::string& path, const std::string& body,
                     decision::duration timeout);

    const address& server() const { return m_server; }

private:
    http_answer execute(const std::string& method, const std::string& path,
                        const std::string& body, decision::duration timeout);

    class connection;

    address m_server;
    std::unique_ptr<connection> m_connection;
};

} // namespace mangofold::runtime
