#include "serving/target_connection.hpp"

#include <boost/asio/ip/address_v4.hpp>

namespace mangofold::serving
{

target_connection::target_connection(asio::io_context& loop)
    : m_socket(loop), m_guard(loop)
{
}

void target_connection::limit(duration most)
{
    const std::uint64_t step = ++m_step;
    m_guard.expires_after(most);
    m_guard.async_wait(
        [weak = weak_from_this(), step](const error_code& fault)
        {
            const auto self = weak.lock();
            if (fault || !self || self->m_step != step)
                return;
            self->m_is_timed_out = true;
            self->close();
        });
}

target_connection::state target_connection::conclude(const error_code& fault)
{
    ++m_step;
    m_guard.cancel();
    if (!fault)
        return state::good;
    if (m_is_timed_out)
        return state::timed_out;
    return fault == asio::error::eof ? state::ended : state::broken;
}

awaitable<target_connection::state>
target_connection::open(const runtime::address& to, duration most)
{
    const auto keep = shared_from_this();
    error_code fault;
    const auto ip = asio::ip::make_address_v4(to.host, fault);
    if (fault)
        co_return state::broken;
    limit(most);
    const tcp::endpoint there(ip, to.port);
    co_await m_socket.async_connect(there, store_error_in(fault));
    if (!fault)
    {
        error_code ignored; // Without it small writes only wait longer.
        m_socket.set_option(tcp::no_delay(true), ignored);
    }
    co_return conclude(fault);
}

void target_connection::send(std::string bytes)
{
    m_to_send = std::move(bytes);
    m_is_sending = true;
    asio::async_write(
        m_socket, asio::buffer(m_to_send),
        [self = shared_from_this()](const error_code& fault, std::size_t)
        {
            // A failed write shows to the reader as a reset.
            self->m_is_sending = static_cast<bool>(fault);
            self->m_to_send.clear();
        });
}

awaitable<target_connection::state> target_connection::read(duration most)
{
    const auto keep = shared_from_this();
    error_code fault;
    limit(most);
    const std::size_t count = co_await m_socket.async_read_some(
        asio::buffer(m_chunk), store_error_in(fault));
    m_received.append(m_chunk.data(), count);
    co_return conclude(fault);
}

bool target_connection::is_quiet()
{
    if (!m_socket.is_open() || !m_received.empty() || m_is_sending)
        return false;
    error_code fault;
    m_socket.non_blocking(true, fault);
    char one = 0;
    m_socket.receive(asio::buffer(&one, 1), tcp::socket::message_peek, fault);
    return fault == asio::error::would_block || fault == asio::error::try_again;
}

void target_connection::close()
{
    error_code ignored; // Closing a dead socket may fail; it is gone anyway.
    m_socket.close(ignored);
    m_guard.cancel();
}

} // namespace mangofold::serving
