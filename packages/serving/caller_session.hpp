#pragma once

#include "catalog/catalog.hpp"
#include "serving/auto_reset_event.hpp"
#include "serving/received_body.hpp"
#include "serving/request_body.hpp"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mangofold::serving
{

class caller_session;

/// Handles the HTTP requests that caller sessions read.
class request_handler
{
public:
    virtual ~request_handler() = default;

    /// Handles \a request with \a body and sends the response on \a session.
    virtual awaitable<void> handle(std::shared_ptr<caller_session> session,
                                   http_request request,
                                   request_body_ptr body) = 0;

    /// Judges a request by its \a head, before its body is read.
    virtual body_terms judge_head(std::shared_ptr<caller_session> session,
                                  const http_request& head) = 0;

    /// Sends the refusal of a request whose body will not be read.
    virtual awaitable<void>
    refuse_unread(std::shared_ptr<caller_session> session,
                  http_request head) = 0;

    /// Returns the memory that requests' bodies are read into.
    virtual const body_memory& bodies() const = 0;

    /// Returns the current limits on callers' requests and connections.
    virtual catalog::caller_limits limits() const = 0;

    /// Whether the process is shutting down: responses then close their
    /// connections.
    virtual bool is_stopping() const = 0;

    /// Returns how far the event loop is behind: an event that is handled now
    /// may have been pending for this long.
    virtual duration loop_lag() const = 0;
};

/// One client connection: reads its HTTP requests one after the other, passes
/// each to the request handler, and detects that the caller disconnects while
/// a request is being handled.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(asio::io_context& loop, tcp::socket socket,
                   request_handler& handler);

    /// Serves the connection until it closes.
    awaitable<void> run();

    /// Sends \a bytes and then \a rest, which must last until it is sent.
    /// Returns whether the write succeeded.
    awaitable<bool> send(std::string bytes, std::string_view rest = {});

    /// Sends a complete response. Adds Content-Length, and "Connection: close"
    /// if the connection does not stay open. \a body must last until it is
    /// sent.
    awaitable<void> send_response(unsigned status, http_fields fields,
                                  std::string_view body);

    /// Whether the caller has disconnected: it reset the connection, or closed
    /// its sending side and the grace period for a short response has passed.
    bool has_disconnected() const { return m_has_disconnected; }

    /// Whether the caller has disconnected. If the event loop is behind, also
    /// looks in the socket for a close that was not read yet.
    bool check_disconnected();

    /// Sets the callback that runs once when the caller disconnects; may be
    /// empty.
    void set_on_disconnect(std::function<void()> callback)
    {
        m_on_disconnect = std::move(callback);
    }

    /// Sets the callback that runs once shortly before this process ends; may
    /// be empty.
    void set_on_shutdown(std::function<void()> callback)
    {
        m_on_shutdown = std::move(callback);
    }

    /// Runs the callback for the time shortly before the end of this process.
    void note_shutdown()
    {
        if (m_on_shutdown)
            std::exchange(m_on_shutdown, nullptr)();
    }

    /// Sets the callback that runs when this process ends; may be empty.
    void set_on_exit(std::function<void()> callback)
    {
        m_on_exit = std::move(callback);
    }

    /// Runs the callback for the end of this process.
    void note_exit()
    {
        if (m_on_exit)
            std::exchange(m_on_exit, nullptr)();
    }

    /// Adds to \a fields of a response that the connection will be closed after
    /// it, if so.
    void announce_close(http_fields& fields);

    /// Closes the connection after the current response.
    void close_after_response() { m_closes_after_response = true; }

    /// Resets the connection at once, so that a partly sent response does not
    /// look complete to the caller.
    void reset_connection();

    /// Closes the connection if no request is being read or handled.
    void close_if_idle();

    /// Whether the connection stays open after the current response. A
    /// stopping process first answers the requests that have arrived.
    bool stays_open() const
    {
        return !m_closes_after_response &&
               (!m_handler.is_stopping() || has_further_data());
    }

private:
    using request_parser = http::request_parser<received_body>;

    awaitable<void> receive();
    /// Waits for data. While a request is in progress, and once the connection
    /// ends, what has arrived stays unread.
    awaitable<void> wait_until_wanted();
    bool holds_data_back() const;
    /// Returns how many bytes have arrived that were not taken.
    std::size_t unread_bytes() const;
    /// Takes \a count of the bytes that were looked at from the connection.
    void take(std::size_t count);
    /// Whether data of a further request has arrived.
    bool has_further_data() const
    {
        return !m_received.empty() || unread_bytes() > 0;
    }
    /// Notes a close behind data that stays unread.
    void note_close_behind_data();
    /// Returns how long a response is possible after the caller's close.
    duration half_closed_time() const;
    /// Handles the end of the caller's data: a close if \a is_orderly, else a
    /// reset or another error.
    awaitable<void> handle_read_end(bool is_orderly);
    void note_disconnect();
    /// Reads the next request. Returns whether there is one.
    awaitable<bool> read_request();
    /// Waits for the first byte of a request, up to the idle time.
    awaitable<bool> wait_for_request();
    /// Parses the received bytes. Returns the status to reject the request
    /// with, or 0.
    unsigned parse(request_parser& parser);
    /// Takes memory for what the body needs next. Returns false if the request
    /// was refused.
    awaitable<bool> make_room(request_parser& parser);
    awaitable<bool> wait_for_room(std::size_t bytes, const body_terms& terms);
    bool is_room_needed(request_parser& parser) const;
    std::size_t room_needed(request_parser& parser) const;
    awaitable<void> refuse_unread(http_request head);
    /// Waits for a limited time until the caller closes the connection, so that
    /// unread bytes do not turn the response into a reset. Meanwhile drops what
    /// arrives if the session discards.
    awaitable<void> linger();
    awaitable<void> reject(unsigned status);

    asio::io_context& m_loop;
    tcp::socket m_socket;
    loop_timer m_write_timer;
    request_handler& m_handler;
    auto_reset_event m_data_received;
    auto_reset_event m_may_read;
    auto_reset_event m_room_decided;
    /// What was received and not parsed. While a request is being read, its
    /// last m_untaken bytes are still in the socket, too.
    std::string m_received;
    std::size_t m_untaken = 0;     ///< Looked at, but still in the socket.
    std::uint64_t m_body_left = 0; ///< Bytes to take without a look at them.
    std::array<char, 4096> m_chunk{};
    http_request m_request;
    std::shared_ptr<request_body> m_body; ///< Of the request being read.
    bool m_is_waiting_for_room = false;
    bool m_discards = false;     ///< Drops all bytes that arrive.
    http_fields m_header_fields; ///< Of the request, without its trailer.
    std::function<void()> m_on_disconnect;
    std::function<void()> m_on_shutdown;
    std::function<void()> m_on_exit;
    bool m_is_read_closed = false; ///< The caller sends no more data.
    bool m_has_disconnected = false;
    bool m_closes_after_response = false;
    bool m_is_handling = false;
    bool m_is_ending = false;               ///< Reads no further request.
    std::optional<instant> m_disconnect_at; ///< The close was seen.
    bool m_has_part_of_request = false;     ///< That was parsed already.
};

} // namespace mangofold::serving
