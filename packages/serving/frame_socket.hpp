#pragma once

#include "peer.pb.h"
#include "serving/asio.hpp"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace mangofold::serving
{

/// A connection between two entries that carries length-prefixed protobuf
/// frames in both directions. Urgent frames overtake bulk data.
class frame_socket : public std::enable_shared_from_this<frame_socket>
{
public:
    explicit frame_socket(tcp::socket socket);

    /// Queues \a frame. Closes the connection if the queue grows too long,
    /// because the peer has stopped reading.
    void send(const peer::Frame& frame);

    /// Writes the next part of a bulk transfer into \a frame. Returns false
    /// after the last part.
    using part_source = std::function<bool(peer::Frame& frame)>;

    /// Starts a bulk transfer of \a parts, which replaces a transfer in
    /// progress. A part is sent only while no other frame is queued.
    void start_bulk_transfer(part_source parts);

    /// Whether a bulk transfer is in progress.
    bool is_bulk_transfer_active() const
    {
        return is_open() && m_bulk_parts != nullptr;
    }

    /// Stops the bulk transfer in progress.
    void stop_bulk_transfer() { m_bulk_parts = nullptr; }

    /// Returns the number of bytes received.
    std::uint64_t bytes_read() const { return m_bytes_read; }

    /// Returns the next frame, or nothing if the connection has ended or the
    /// received bytes are no valid frame.
    awaitable<std::optional<peer::Frame>> read();

    void close();
    bool is_open() const { return m_socket.is_open(); }

private:
    void queue(const peer::Frame& frame);
    void write_next();

    tcp::socket m_socket;
    std::string m_received;
    std::string m_queued;
    std::string m_writing;
    part_source m_bulk_parts;
    std::uint64_t m_bytes_read = 0;
    std::array<char, 16384> m_read_buffer{};
};

using frame_socket_ptr = std::shared_ptr<frame_socket>;

} // namespace mangofold::serving
