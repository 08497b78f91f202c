#pragma once

#include "runtime/address.hpp"
#include "runtime/child.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mangofold::runtime
{

/// A request received by an http_server.
struct http_request
{
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    bool is_too_large = false; ///< The body exceeded max_body and was
                               ///< discarded.

    friend bool operator==(const http_request&, const http_request&) = default;
};

/// The reply of a handler.
struct http_reply
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    unsigned retry_after_s = 0; ///< The Retry-After header; 0 for none.

    friend bool operator==(const http_reply&, const http_reply&) = default;
};

/// An HTTP server that dispatches each request to the handler of its path. A
/// request in progress occupies one thread of the server's pool.
class http_server : public child
{
public:
    using handler = std::function<http_reply(const http_request&)>;

    struct bounds
    {
        unsigned min_threads = 4;
        unsigned max_threads = 64;
        std::size_t max_body = 1 << 20; ///< In bytes.
    };

    http_server(std::string name, address listen, bounds limits);
    ~http_server() override;

    /// Sets the handler for paths that begin with \a prefix. To be called
    /// before start().
    void set_handler(const std::string& prefix, handler value);

    const std::string& name() const override { return m_name; }
    void start() override;
    void stop() noexcept override;
    bool has_failed() const override;

    /// Returns the reply of the handler with the longest matching prefix.
    http_reply reply_to(const http_request& request) const;

    std::size_t max_body() const { return m_bounds.max_body; }

private:
    class event_loop;

    std::string m_name;
    address m_listen;
    bounds m_bounds;
    std::map<std::string, handler> m_handlers;
    std::unique_ptr<event_loop> m_event_loop; ///< Null while stopped.
};

} // namespace mangofold::runtime
