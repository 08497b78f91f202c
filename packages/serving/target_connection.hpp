#pragma once

#include "runtime/address.hpp"
#include "serving/asio.hpp"

#include <array>
#include <memory>
#include <string>

namespace mangofold::serving
{

/// One connection to a target. Every step has a bound in time; a step over
/// it closes the connection, since a silent one is no better than none.
class target_connection : public std::enable_shared_from_this<target_connection>
{
public:
    enum class state : std::uint8_t
    {
        good,
        ended,    ///< The other side closed it in order.
        broken,   ///< Reset, or closed by us.
        timed_out ///< Closed by us, since a step took too long.
    };

    explicit target_connection(asio::io_context& loop);

    awaitable<state> open(const runtime::address& to, duration most);

    /// Sends \a bytes in the background, so that an answer can be read before
    /// the target has taken a long body in.
    void send(std::string bytes);

    /// Whether everything was handed to the network.
    bool is_sent() const { return !m_is_sending; }

    /// Appends what comes next to received().
    awaitable<state> read(duration most);

    /// Returns the bytes received and not yet used.
    std::string& received() { return m_received; }

    /// Whether nothing came or ended while the connection was idle.
    bool is_quiet();

    void close();
    bool is_open() const { return m_socket.is_open(); }

    instant opened_at{};    ///< It was asked for.
    instant usable_until{}; ///< Idle ones are not used after this.

private:
    void limit(duration most);
    state conclude(const error_code& fault);

    tcp::socket m_socket;
    loop_timer m_guard;
    std::uint64_t m_step = 0;
    bool m_is_timed_out = false;
    bool m_is_sending = false;
    std::string m_to_send;
    std::string m_received;
    std::array<char, 4096> m_chunk{};
};

using connection_ptr = std::shared_ptr<target_connection>;

} // namespace mangofold::serving
