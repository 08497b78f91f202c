#pragma once

#include "catalog/catalog.hpp"
#include "serving/auto_reset_event.hpp"
#include "serving/http.hpp"

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace mangofold::serving
{

class caller_session;

/// Answers the requests of callers.
class request_handler
{
public:
    virtual ~request_handler() = default;

    /// Answers \a request on \a session.
    virtual awaitable<void> answer(std::shared_ptr<caller_session> session,
                                   http_request request) = 0;

    /// Returns the bounds on callers now in force.
    virtual catalog::caller_limits limits() const = 0;

    /// Whether the process is about to end: answers then close.
    virtual bool is_stopping() const = 0;

    /// Returns how long what is found now may have waited unseen.
    virtual duration lateness() const = 0;
};

/// One connection of a caller: reads its requests one after the other, and
/// notices when the caller leaves.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(asio::io_context& loop, tcp::socket socket,
                   request_handler& handler);

    awaitable<void> run();

    /// Sends \a bytes. Returns whether the caller still takes them.
    awaitable<bool> send(std::string bytes);

    /// Sends a whole answer. Length and connection headers are added.
    awaitable<void> send_answer(unsigned status, http_fields fields,
                                std::string body);

    /// Whether the caller has gone: it reset the connection, or closed its
    /// side and time enough for a short answer has passed.
    bool has_left() const { return m_has_left; }

    /// Whether the caller has gone, also where its close has come and was not
    /// read yet since this process is behind.
    bool has_left_unseen();

    /// Sets what is done as soon as the caller leaves; empty for nothing.
    void set_on_left(std::function<void()> action)
    {
        m_on_left = std::move(action);
    }

    /// Sets what is done shortly before this process ends; empty for nothing.
    void set_on_ending(std::function<void()> action)
    {
        m_on_ending = std::move(action);
    }

    /// Notes that this process ends shortly.
    void note_ending()
    {
        if (m_on_ending)
            std::exchange(m_on_ending, nullptr)();
    }

    /// Closes the connection after the present answer.
    void close_after() { m_is_last = true; }

    /// Resets the connection at once: what was sent must not look complete.
    void break_off();

    /// Closes the connection if no request is being read or answered.
    void close_if_idle();

    /// Whether the connection stays open after the present answer.
    bool stays_open() const { return !m_is_last && !m_handler.is_stopping(); }

private:
    using parser = http::request_parser<http::string_body>;

    awaitable<void> read_all();
    awaitable<void> leave(bool is_orderly);
    void note_left();
    awaitable<bool> read_request();
    /// Parses what has come. Returns the status to reject it with, or 0.
    unsigned parse(parser& reading);
    awaitable<void> reject(unsigned status);

    asio::io_context& m_loop;
    tcp::socket m_socket;
    loop_timer m_guard;
    request_handler& m_handler;
    auto_reset_event m_more;
    auto_reset_event m_space;
    std::string m_received;
    std::array<char, 4096> m_chunk{};
    http_request m_request;
    std::function<void()> m_on_left;
    std::function<void()> m_on_ending;
    bool m_is_ended = false; ///< Nothing more comes from the caller.
    bool m_has_left = false;
    bool m_is_last = false;
    bool m_is_busy = false;
};

} // namespace mangofold::serving
