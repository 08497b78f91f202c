#include "serving/caller_session.hpp"

#include "runtime/event.hpp"

#include <boost/asio/socket_base.hpp>

#include <algorithm>

#include <poll.h>

namespace mangofold::serving
{

namespace
{

/// How long one write may take before the caller counts as disconnected. A
/// connection that the network lost would otherwise hold its memory for
/// minutes.
constexpr duration write_timeout = std::chrono::seconds(10);

/// How many received bytes may wait to be parsed, beyond one header.
constexpr std::size_t max_read_ahead = 65536;

/// Grace period for the response after the caller closed its sending side.
/// Some callers close it as soon as their request is sent.
constexpr duration half_closed_grace = std::chrono::milliseconds(300);

/// Work for a caller that has disconnected must end within this time after
/// the caller's close.
constexpr duration max_disconnect_delay = std::chrono::milliseconds(500);

/// How often the end of a connection is looked for while its data stays unread.
constexpr duration close_check_interval = std::chrono::milliseconds(50);

/// Returns how many bytes, one at most, can be read now: 0 at the end of the
/// connection, none if a read would wait.
std::optional<std::size_t> peek(tcp::socket& socket)
{
    error_code fault;
    socket.non_blocking(true, fault);
    char byte = 0;
    const std::size_t count = socket.receive(asio::buffer(&byte, 1),
                                             tcp::socket::message_peek, fault);
    if (fault == asio::error::would_block || fault == asio::error::try_again)
        return std::nullopt;
    return count;
}

/// How the peer has ended a connection, also behind unread data.
enum class peer_end : std::uint8_t
{
    none,
    closed, ///< Its sending side.
    reset
};

peer_end end_of_peer(tcp::socket& socket)
{
    pollfd state{socket.native_handle(), POLLRDHUP, 0};
    if (poll(&state, 1, 0) <= 0)
        return peer_end::none;
    return (state.revents & (POLLERR | POLLHUP)) != 0 ? peer_end::reset
                                                      : peer_end::closed;
}

/// How long a stopping process waits for a caller to close a connection with
/// unread data: its exit waits, too.
constexpr duration max_linger_time_while_stopping =
    std::chrono::milliseconds(300);

unsigned status_of(const error_code& fault)
{
    if (fault == http::error::header_limit)
        return 431;
    return fault == http::error::body_limit ? 413 : 400;
}

// Rejects a request whose end two HTTP implementations could determine
// differently: the bytes after the end would be taken for another request
// (request smuggling).
bool is_ambiguous(const http::request_header<>& head)
{
    if (head.count(http::field::host) != 1 ||
        head.count(http::field::content_length) > 1 ||
        head.count(http::field::transfer_encoding) > 1)
        return true;
    const auto encoding = head.find(http::field::transfer_encoding);
    return encoding != head.end() &&
           (to_lower(view(encoding->value())) != "chunked" ||
            head.count(http::field::content_length));
}

} // namespace

caller_session::caller_session(asio::io_context& loop, tcp::socket socket,
                               request_handler& handler)
    : m_loop(loop), m_socket(std::move(socket)), m_write_timer(loop),
      m_handler(handler), m_data_received(loop), m_may_read(loop),
      m_room_decided(loop)
{
}

awaitable<void> caller_session::run()
{
    const auto self = shared_from_this();
    error_code ignored; // Without the option small writes only wait longer.
    m_socket.set_option(tcp::no_delay(true), ignored);
    spawn(m_loop, receive());
    while (!m_closes_after_response && !m_has_disconnected)
    {
        // In a condition with another operand, g++ 12 evaluates that operand
        // again after the co_await.
        const bool has_request = co_await read_request();
        if (!has_request)
            break;
        m_is_handling = true;
        co_await m_handler.handle(self, std::move(m_request),
                                  std::exchange(m_body, nullptr));
        m_is_handling = false;
        m_may_read.set();
        m_on_disconnect = nullptr;
        m_on_shutdown = nullptr;
        m_on_exit = nullptr;
        m_closes_after_response = !stays_open();
    }
    m_is_ending = true;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    if (m_discards || unread_bytes() > 0)
        co_await linger();
    m_socket.close(ignored);
    m_may_read.set();
}

awaitable<void> caller_session::receive()
{
    const auto self = shared_from_this();
    for (;;)
    {
        error_code fault;
        co_await wait_until_wanted();
        const bool is_known_body = m_body_left > 0;
        const std::size_t limit =
            is_known_body ? static_cast<std::size_t>(std::min<std::uint64_t>(
                                m_body_left, m_chunk.size()))
                          : m_chunk.size();
        const std::size_t count = co_await m_socket.async_receive(
            asio::buffer(m_chunk, limit),
            is_known_body || m_discards ? 0 : tcp::socket::message_peek,
            store_error_in(fault));
        if (fault)
        {
            co_await handle_read_end(fault == asio::error::eof);
            co_return;
        }
        // A request that arrived completely meanwhile needs nothing of this.
        if (m_discards || m_is_handling)
            continue;
        m_received.append(m_chunk.data(), count);
        if (is_known_body)
            m_body_left -= count;
        else
            m_untaken = count;
        m_data_received.set();
        while ((m_untaken > 0 || m_received.size() > max_read_ahead ||
                m_is_waiting_for_room) &&
               m_socket.is_open())
            co_await m_may_read.wait(std::chrono::seconds(1));
    }
}

// A request that was read has to be answered, but one behind a request that the
// end of this process cuts off can't be. Its caller sees the reset of a
// connection with unread data.
awaitable<void> caller_session::wait_until_wanted()
{
    error_code ignored; // The read after it reports the fault.
    co_await m_socket.async_wait(tcp::socket::wait_read,
                                 store_error_in(ignored));
    while (holds_data_back())
    {
        if (m_is_handling)
            note_close_behind_data();
        co_await m_may_read.wait(close_check_interval);
    }
}

bool caller_session::holds_data_back() const
{
    return (m_is_handling || m_is_ending) && !m_discards && unread_bytes() > 0;
}

std::size_t caller_session::unread_bytes() const
{
    error_code ignored; // Nothing can be read from a broken socket.
    return m_socket.is_open() ? m_socket.available(ignored) : 0;
}

void caller_session::take(std::size_t count)
{
    error_code fault; // The next read reports it, too.
    while (count > 0 && !fault)
        count -= m_socket.receive(asio::buffer(m_chunk, count), 0, fault);
    m_untaken = 0;
    m_may_read.set();
}

void caller_session::note_close_behind_data()
{
    const peer_end end = end_of_peer(m_socket);
    if (end == peer_end::none || m_has_disconnected)
        return;
    const instant now = loop_clock::now();
    if (!m_disconnect_at)
        m_disconnect_at = now + half_closed_time();
    if (end == peer_end::reset || now >= *m_disconnect_at)
        note_disconnect();
}

// If the event loop is behind, the close may have arrived that long ago.
duration caller_session::half_closed_time() const
{
    return std::clamp(max_disconnect_delay - m_handler.loop_lag(), duration(),
                      half_closed_grace);
}

awaitable<void> caller_session::handle_read_end(bool is_orderly)
{
    m_is_read_closed = true;
    m_data_received.set();
    const bool may_expect_response =
        is_orderly && (m_is_handling || !m_received.empty());
    const duration time_left =
        m_disconnect_at ? time_until(*m_disconnect_at, loop_clock::now())
                        : half_closed_time();
    if (may_expect_response && time_left > duration())
    {
        loop_timer timer(m_loop, time_left);
        error_code ignored; // The timer is never cancelled.
        co_await timer.async_wait(store_error_in(ignored));
    }
    note_disconnect();
}

void caller_session::note_disconnect()
{
    m_has_disconnected = true;
    m_data_received.set();
    if (m_on_disconnect)
        std::exchange(m_on_disconnect, nullptr)();
}

// A process that was suspended or is behind finds a request and the close
// after it at the same time, and handles the request first. Forwarded, that
// request would keep a target busy for a caller that disconnected long ago.
bool caller_session::check_disconnected()
{
    if (m_has_disconnected || m_handler.loop_lag() < max_disconnect_delay)
        return m_has_disconnected;
    if (peek(m_socket) == 0U)
        note_disconnect();
    return m_has_disconnected;
}

unsigned caller_session::parse(request_parser& parser)
{
    while (!m_received.empty() && !parser.is_done() && !is_room_needed(parser))
    {
        error_code fault;
        const std::size_t consumed =
            parser.put(asio::buffer(m_received), fault);
        m_received.erase(0, consumed);
        m_may_read.set();
        if (fault == http::error::need_more)
            return 0;
        if (fault)
        {
            runtime::event("request_malformed")
                .with("fault", fault.message())
                .info();
            return status_of(fault);
        }
        // The parser adds the trailer's fields to those of the header.
        if (parser.is_header_done() && !parser.eager())
        {
            m_header_fields = parser.get();
            parser.eager(true);
        }
        if (parser.is_header_done() && is_ambiguous(parser.get()))
        {
            runtime::event("request_malformed")
                .with("fault", "ambiguous message length or host")
                .info();
            return 400;
        }
        if (consumed == 0)
            return 0;
    }
    return 0;
}

// A configuration that allows more time between requests counts for callers
// that wait now, too: their connections are not closed after the time of the
// one before.
awaitable<bool> caller_session::wait_for_request()
{
    const instant began_at = loop_clock::now();
    instant end = began_at;
    do
    {
        end = began_at + m_handler.limits().idle_time;
        const bool has_new_data =
            co_await m_data_received.wait(time_until(end, loop_clock::now()));
        if (has_new_data)
            co_return true;
        end = began_at + m_handler.limits().idle_time;
    } while (loop_clock::now() < end);
    co_return false;
}

awaitable<bool> caller_session::read_request()
{
    // Those in force at the first byte.
    std::optional<catalog::caller_limits> limits;
    request_parser parser;
    m_body = std::make_shared<request_body>(m_handler.bodies());
    bool has_sent_continue = false;
    for (;;)
    {
        const bool has_started = parser.got_some() || !m_received.empty();
        if (has_started && !limits)
        {
            limits = m_handler.limits();
            parser.header_limit(
                static_cast<std::uint32_t>(limits->header_bytes));
            parser.body_limit(limits->body_bytes);
        }
        if (const unsigned status = parse(parser))
        {
            co_await reject(status);
            co_return false;
        }
        if (parser.is_done())
            break;
        // All that was looked at belongs to this request.
        if (!is_room_needed(parser) && m_untaken > 0)
            take(m_untaken);
        m_body_left = parser.is_header_done()
                          ? parser.content_length_remaining().value_or(0)
                          : 0;
        if (is_room_needed(parser))
        {
            const bool has_room = co_await make_room(parser);
            if (!has_room)
                co_return false;
            continue;
        }
        if (m_is_read_closed)
            co_return false;
        const bool expects_continue =
            parser.is_header_done() && !has_sent_continue &&
            parser.get().count(http::field::expect) > 0;
        if (expects_continue)
        {
            has_sent_continue = true;
            co_await send("HTTP/1.1 100 Continue\r\n\r\n");
        }
        m_has_part_of_request = parser.got_some();
        bool has_new_data = false;
        if (!limits)
            has_new_data = co_await wait_for_request();
        else
            has_new_data = co_await m_data_received.wait(
                parser.is_header_done() ? limits->idle_time
                                        : limits->header_time);
        if (m_closes_after_response && !has_started)
            co_return false;
        if (has_new_data || m_is_read_closed)
            continue;
        if (has_started)
            co_await reject(408);
        co_return false;
    }
    m_has_part_of_request = false;
    m_body_left = 0;
    take(m_untaken - m_received.size());
    m_received.clear();
    m_body->bytes = std::move(parser.get().body());
    m_request = http_request(std::move(parser.get().base()));
    static_cast<http_fields&>(m_request) = std::move(m_header_fields);
    if (!m_request.keep_alive())
        m_closes_after_response = true;
    co_return true;
}

// What follows is not known to be a request.
awaitable<void> caller_session::reject(unsigned status)
{
    close_after_response();
    m_discards = true;
    m_untaken = 0;
    m_received.clear();
    m_may_read.set();
    co_await send_response(status, {}, {});
}

awaitable<void> caller_session::linger()
{
    const instant begin = loop_clock::now();
    const duration limit = m_handler.limits().header_time;
    // A longer wait would delay the exit of a stopping process.
    const auto end = [&]
    {
        return begin + (m_handler.is_stopping()
                            ? std::min(limit, max_linger_time_while_stopping)
                            : limit);
    };
    // Waits at least once, so that a caller that has already closed its side
    // can acknowledge the end of the answer.
    do
    {
        co_await m_data_received.wait(std::min(
            close_check_interval, time_until(end(), loop_clock::now())));
    } while (!m_is_read_closed && m_socket.is_open() &&
             (m_discards || end_of_peer(m_socket) == peer_end::none) &&
             loop_clock::now() < end());
}

awaitable<bool> caller_session::send(std::string bytes, std::string_view rest)
{
    if (!m_socket.is_open())
        co_return false;
    m_write_timer.expires_after(write_timeout);
    m_write_timer.async_wait(
        [weak = weak_from_this()](const error_code& fault)
        {
            const auto self = weak.lock();
            if (!fault && self)
                self->reset_connection();
        });
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(bytes),
                                                    asio::buffer(rest)};
    error_code fault;
    co_await asio::async_write(m_socket, buffers, store_error_in(fault));
    m_write_timer.cancel();
    co_return !fault;
}

awaitable<void> caller_session::send_response(unsigned status,
                                              http_fields fields,
                                              std::string_view body)
{
    fields.set(http::field::content_length, std::to_string(body.size()));
    announce_close(fields);
    std::string head = serialize_head(status, fields);
    if (!co_await send(std::move(head), body))
        close_after_response();
}

// No request that arrives after the announcement is handled.
void caller_session::announce_close(http_fields& fields)
{
    if (stays_open())
        return;
    close_after_response();
    fields.set(http::field::connection, "close");
}

void caller_session::reset_connection()
{
    error_code ignored; // Closing a broken socket may fail.
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
    m_closes_after_response = true;
    m_data_received.set();
}

void caller_session::close_if_idle()
{
    if (m_is_handling || m_has_part_of_request || has_further_data())
        return;
    m_closes_after_response = true;
    m_data_received.set();
}

} // namespace mangofold::serving
