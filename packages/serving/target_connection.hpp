#pragma once

#include "runtime/address.hpp"
#include "serving/asio.hpp"

#include <array>
#include <memory>
#include <string>

namespace mangofold::serving
{

/// One TCP connection to a target. Each connect and read has a timeout, after
/// which the connection is closed, since a silent connection is of no use.
class target_connection : public std::enable_shared_from_this<target_connection>
{
public:
    /// Result of a connect or read.
    enum class outcome : std::uint8_t
    {
        ok,
        closed_by_peer, ///< The target closed the connection in order.
        failed,         ///< Refused, reset, or closed by this process.
        timed_out       ///< Closed by this process after a timeout.
    };

    explicit target_connection(asio::io_context& loop);

    /// Connects to \a to within \a timeout.
    awaitable<outcome> open(const runtime::address& to, duration timeout);

    /// Sends \a bytes and then \a body, if there is one, in the background, so
    /// that the answer can be read before the target has received all of a long
    /// body.
    void send(std::string bytes, std::shared_ptr<const std::string> body = {});

    /// Returns the number of calls of send().
    std::uint64_t sent_count() const { return m_sent_count; }

    /// Whether all bytes were passed to the kernel.
    bool is_sent() const { return !m_is_sending; }

    /// Waits at most \a timeout for bytes and appends them to received(). Times
    /// out at once if no time is left, even if there are bytes.
    awaitable<outcome> read(duration timeout);

    /// Returns the received bytes that were not consumed yet.
    std::string& received() { return m_received; }

    /// Waits until bytes or the end of the connection can be read, or it is
    /// closed.
    awaitable<void> wait_readable();

    /// Whether the peer has reset the connection.
    bool is_reset();

    /// Whether the idle connection is open and received no unexpected bytes.
    bool is_reusable();

    /// Closes the connection. What the target has not received of a request
    /// without an answer is dropped.
    void close();
    bool is_open() const { return m_socket.is_open(); }

    instant opened_at{};    ///< When connecting was requested.
    instant usable_until{}; ///< End of its idle time in the pool.

private:
    /// Returns what a read would find now.
    error_code peek();
    void start_timeout(duration timeout);
    outcome finish_step(const error_code& fault);

    tcp::socket m_socket;
    loop_timer m_timeout;
    std::uint64_t m_step = 0;
    bool m_is_timed_out = false;
    bool m_is_sending = false;
    bool m_is_broken = false;     ///< A write has failed before an orderly end.
    bool m_is_unanswered = false; ///< No byte came since the last send().
    std::uint64_t m_sent_count = 0;
    std::string m_to_send;
    std::shared_ptr<const std::string> m_body_to_send;
    std::string m_received;
    std::array<char, 4096> m_read_buffer{};
};

using connection_ptr = std::shared_ptr<target_connection>;

} // namespace mangofold::serving
