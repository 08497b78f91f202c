#include "serving/target_connection.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>

namespace mangofold::serving
{

target_connection::target_connection(asio::io_context& loop)
    : m_socket(loop), m_timeout(loop)
{
}

void target_connection::start_timeout(duration timeout)
{
    const std::uint64_t step = ++m_step;
    m_timeout.expires_after(timeout);
    m_timeout.async_wait(
        [weak = weak_from_this(), step](const error_code& fault)
        {
            const auto self = weak.lock();
            if (fault || !self || self->m_step != step)
                return;
            self->m_is_timed_out = true;
            self->close();
        });
}

target_connection::outcome
target_connection::finish_step(const error_code& fault)
{
    ++m_step;
    m_timeout.cancel();
    if (!fault)
        return outcome::ok;
    if (m_is_timed_out)
        return outcome::timed_out;
    return fault == asio::error::eof && !m_is_broken ? outcome::closed_by_peer
                                                     : outcome::failed;
}

awaitable<target_connection::outcome>
target_connection::open(const runtime::address& to, duration timeout)
{
    const auto self = shared_from_this();
    error_code fault;
    const auto ip = asio::ip::make_address_v4(to.host, fault);
    if (fault)
        co_return outcome::failed;
    start_timeout(timeout);
    const tcp::endpoint target_endpoint(ip, to.port);
    co_await m_socket.async_connect(target_endpoint, store_error_in(fault));
    if (!fault)
    {
        error_code ignored; // Without this option small writes are only slower.
        m_socket.set_option(tcp::no_delay(true), ignored);
    }
    co_return finish_step(fault);
}

void target_connection::send(std::string bytes,
                             std::shared_ptr<const std::string> body)
{
    m_to_send = std::move(bytes);
    m_body_to_send = std::move(body);
    m_is_sending = true;
    m_is_unanswered = true;
    ++m_sent_count;
    const std::array<asio::const_buffer, 2> buffers{
        asio::buffer(m_to_send),
        m_body_to_send ? asio::buffer(*m_body_to_send) : asio::const_buffer()};
    asio::async_write(
        m_socket, buffers,
        [self = shared_from_this()](const error_code& fault, std::size_t)
        {
            self->m_is_sending = static_cast<bool>(fault);
            // A broken pipe is a reset after an orderly end, or one that a read
            // has reported.
            self->m_is_broken = fault && fault != asio::error::broken_pipe;
            self->m_to_send.clear();
            self->m_body_to_send.reset();
        });
}

awaitable<target_connection::outcome> target_connection::read(duration timeout)
{
    const auto self = shared_from_this();
    // A read that finds bytes completes before the timer, so without this a
    // target that sends without end would never time out.
    if (timeout <= duration::zero())
    {
        m_is_timed_out = true;
        close();
        co_return outcome::timed_out;
    }
    error_code fault;
    start_timeout(timeout);
    const std::size_t count = co_await m_socket.async_read_some(
        asio::buffer(m_read_buffer), store_error_in(fault));
    m_received.append(m_read_buffer.data(), count);
    if (count > 0)
        m_is_unanswered = false;
    // The system reports a reset only once. If a write gets the report, reads
    // find what looks like an orderly end, and they may complete before it.
    if (fault == asio::error::eof && m_is_sending)
        co_await asio::post(m_socket.get_executor(), asio::use_awaitable);
    co_return finish_step(fault);
}

awaitable<void> target_connection::wait_readable()
{
    const auto self = shared_from_this();
    error_code ignored; // The caller looks at the connection.
    co_await m_socket.async_wait(tcp::socket::wait_read,
                                 store_error_in(ignored));
}

error_code target_connection::peek()
{
    error_code fault;
    m_socket.non_blocking(true, fault);
    char peeked = 0;
    m_socket.receive(asio::buffer(&peeked, 1), tcp::socket::message_peek,
                     fault);
    return fault;
}

bool target_connection::is_reset()
{
    const error_code fault = peek();
    return fault && fault != asio::error::eof;
}

bool target_connection::is_reusable()
{
    if (!m_socket.is_open() || !m_received.empty() || m_is_sending)
        return false;
    const error_code fault = peek();
    return fault == asio::error::would_block || fault == asio::error::try_again;
}

// After an orderly close the system would go on sending for minutes, and a
// target that was cut off would get a request that has been given up.
void target_connection::close()
{
    error_code ignored; // Closing a broken socket may report an error.
    if (m_is_unanswered)
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
    m_timeout.cancel();
}

} // namespace mangofold::serving
