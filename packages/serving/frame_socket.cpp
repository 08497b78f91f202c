#include "serving/frame_socket.hpp"

#include <boost/asio/socket_base.hpp>

namespace mangofold::serving
{

namespace
{

constexpr std::size_t length_bytes = 4;
constexpr unsigned byte_bits = 8;

/// The longest frame: a list of some ten thousand targets.
constexpr std::size_t most_frame = 4U << 20U;

/// What may wait to be sent. More means that the other side has stopped
/// reading for seconds.
constexpr std::size_t most_queued = 8U << 20U;

/// What the kernel may hold unsent: urgent frames wait behind that. A tenth
/// of a second of a link of 10 Mbit/s, and 5 Mbit/s over the longest ways.
constexpr int most_unsent = 128 << 10;

std::size_t length_of(const std::string& bytes)
{
    std::size_t length = 0;
    for (std::size_t at = 0; at < length_bytes; ++at)
        length = (length << byte_bits) | static_cast<unsigned char>(bytes[at]);
    return length;
}

} // namespace

frame_socket::frame_socket(tcp::socket socket) : m_socket(std::move(socket))
{
    error_code ignored; // Without these urgent frames only wait longer.
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.set_option(asio::socket_base::send_buffer_size(most_unsent),
                        ignored);
}

void frame_socket::queue(const peer::Frame& frame)
{
    const std::size_t length = frame.ByteSizeLong();
    for (std::size_t at = length_bytes; at > 0; --at)
        m_queued.push_back(
            static_cast<char>((length >> (byte_bits * (at - 1))) & 0xffU));
    frame.AppendToString(&m_queued);
}

void frame_socket::send(const peer::Frame& frame)
{
    if (!m_socket.is_open())
        return;
    queue(frame);
    if (m_queued.size() > most_queued)
        return close();
    if (m_writing.empty())
        write_next();
}

// What is large must not hold up what is urgent: an answer that waits behind
// a whole catalog on a narrow link comes when its request is late, and its
// entry counts as silent until then.
void frame_socket::send_in_parts(part_source parts)
{
    m_parts = std::move(parts);
    if (m_socket.is_open() && m_writing.empty())
        write_next();
}

void frame_socket::write_next()
{
    if (m_queued.empty() && m_parts)
    {
        peer::Frame part;
        if (m_parts(part))
            queue(part);
        else
            m_parts = nullptr;
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
    const auto keep = shared_from_this();
    for (;;)
    {
        if (m_received.size() >= length_bytes)
        {
            const std::size_t length = length_of(m_received);
            if (length > most_frame)
                break;
            if (m_received.size() >= length_bytes + length)
            {
                peer::Frame frame;
                const bool is_read = frame.ParseFromArray(
                    m_received.data() + length_bytes, static_cast<int>(length));
                m_received.erase(0, length_bytes + length);
                if (!is_read)
                    break;
                co_return frame;
            }
        }
        error_code fault;
        const std::size_t count = co_await m_socket.async_read_some(
            asio::buffer(m_chunk), store_error_in(fault));
        if (fault)
            break;
        m_received.append(m_chunk.data(), count);
        m_bytes_read += count;
    }
    close();
    co_return std::nullopt;
}

void frame_socket::close()
{
    error_code ignored; // Closing a dead socket may fail; it is gone anyway.
    m_socket.close(ignored);
}

} // namespace mangofold::serving
