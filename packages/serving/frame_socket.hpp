#pragma once

#include "peer.pb.h"
#include "serving/asio.hpp"

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace mangofold::serving
{

/// A connection between two entries that carries frames both ways.
class frame_socket : public std::enable_shared_from_this<frame_socket>
{
public:
    explicit frame_socket(tcp::socket socket);

    /// Queues \a frame. A queue that grows too long closes the connection:
    /// the other side does not read.
    void send(const peer::Frame& frame);

    /// Returns the next frame, or nothing once the connection has ended.
    awaitable<std::optional<peer::Frame>> read();

    void close();
    bool is_open() const { return m_socket.is_open(); }

private:
    void write_next();

    tcp::socket m_socket;
    std::string m_received;
    std::string m_queued;
    std::string m_writing;
    std::array<char, 16384> m_chunk{};
};

using frame_socket_ptr = std::shared_ptr<frame_socket>;

} // namespace mangofold::serving
