#include "serving/frame_socket.hpp"

#include <boost/asio/socket_base.hpp>

namespace mangofold::serving
{

namespace
{

constexpr std::size_t length_prefix_bytes = 4;
constexpr unsigned bits_per_byte = 8;

/// Longest frame accepted: a list of some ten thousand targets.
constexpr std::size_t max_frame_bytes = 4U << 20U;

/// Longest queue of unsent frames. A longer one means that the peer has not
/// read for seconds.
constexpr std::size_t max_queued_bytes = 8U << 20U;

/// Size of the kernel's send buffer, which urgent frames can't overtake. It
/// holds a tenth of a second of data on a 10 Mbit/s link, and allows 5 Mbit/s
/// over the longest round trips.
constexpr int send_buffer_bytes = 128 << 10;

std::size_t decode_length(const std::string& bytes)
{
    std::size_t length = 0;
    for (std::size_t at = 0; at < length_prefix_bytes; ++at)
        length =
            (length << bits_per_byte) | static_cast<unsigned char>(bytes[at]);
    return length;
}

} // namespace

frame_socket::frame_socket(tcp::socket socket) : m_socket(std::move(socket))
{
    error_code ignored; // Without these options urgent frames are only slower.
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.set_option(asio::socket_base::send_buffer_size(send_buffer_bytes),
                        ignored);
}

void frame_socket::queue(const peer::Frame& frame)
{
    const std::size_t length = frame.ByteSizeLong();
    for (std::size_t at = length_prefix_bytes; at > 0; --at)
        m_queued.push_back(
            static_cast<char>((length >> (bits_per_byte * (at - 1))) & 0xffU));
    frame.AppendToString(&m_queued);
}

void frame_socket::send(const peer::Frame& frame)
{
    if (!m_socket.is_open())
        return;
    queue(frame);
    if (m_queued.size() > max_queued_bytes)
        return close();
    if (m_writing.empty())
        write_next();
}

// Bulk data must not delay urgent frames: an answer queued behind a whole
// catalog on a narrow link arrives after the deadline of its request, and the
// entry that sent it counts as silent until then.
void frame_socket::start_bulk_transfer(part_source parts)
{
    m_bulk_parts = std::move(parts);
    if (m_socket.is_open() && m_writing.empty())
        write_next();
}

void frame_socket::write_next()
{
    if (m_queued.empty() && m_bulk_parts)
    {
        peer::Frame part;
        if (m_bulk_parts(part))
            queue(part);
        else
            m_bulk_parts = nullptr;
    }
    if (m_queued.empty())
        return;
    m_writing.swap(m_queued);
    asio::async_write(
        m_socket, asio::buffer(m_writing),
        [self = shared_from_this()](const error_code& fault, std::size_t)
        {
            self->m_writing.clear();
            if (fault)
                self->close();
            else
                self->write_next();
        });
}

awaitable<std::optional<peer::Frame>> frame_socket::read()
{
    const auto keep_alive = shared_from_this();
    for (;;)
    {
        if (m_received.size() >= length_prefix_bytes)
        {
            const std::size_t length = decode_length(m_received);
            if (length > max_frame_bytes)
                break;
            if (m_received.size() >= length_prefix_bytes + length)
            {
                peer::Frame frame;
                const bool is_parsed = frame.ParseFromArray(
                    m_received.data() + length_prefix_bytes,
                    static_cast<int>(length));
                m_received.erase(0, length_prefix_bytes + length);
                if (!is_parsed)
                    break;
                co_return frame;
            }
        }
        error_code fault;
        const std::size_t count = co_await m_socket.async_read_some(
            asio::buffer(m_read_buffer), store_error_in(fault));
        if (fault)
            break;
        m_received.append(m_read_buffer.data(), count);
        m_bytes_read += count;
    }
    close();
    co_return std::nullopt;
}

void frame_socket::close()
{
    error_code ignored; // Closing a broken socket may report an error.
    m_socket.close(ignored);
}

} // namespace mangofold::serving
