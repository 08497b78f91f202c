#include "serving/caller_session.hpp"

#include "runtime/event.hpp"

#include <boost/asio/socket_base.hpp>

namespace mangofold::serving
{

namespace
{

/// How long a caller may take to read what is sent to it before it counts as
/// gone; a network that lost it would hold the memory for minutes.
constexpr duration write_time = std::chrono::seconds(10);

/// What is kept of bytes that come ahead of being used, beyond one header.
constexpr std::size_t read_ahead = 65536;

/// How long a caller that closed its side may still want its answer. Some
/// close it as soon as their request is sent.
constexpr duration half_closed_time = std::chrono::milliseconds(300);

/// Work for a caller who has really gone must end this long after its close.
constexpr duration left_time = std::chrono::milliseconds(500);

unsigned status_of(const error_code& fault)
{
    if (fault == http::error::header_limit)
        return 431;
    return fault == http::error::body_limit ? 413 : 400;
}

// A request is refused where two parties could disagree about its end, since
// the rest would then be taken for another request.
bool is_ambiguous(const http::request_header<>& head)
{
    if (head.count(http::field::host) != 1 ||
        head.count(http::field::content_length) > 1 ||
        head.count(http::field::transfer_encoding) > 1)
        return true;
    const auto coding = head.find(http::field::transfer_encoding);
    return coding != head.end() && (lower(view(coding->value())) != "chunked" ||
                                    head.count(http::field::content_length));
}

} // namespace

caller_session::caller_session(asio::io_context& loop, tcp::socket socket,
                               request_handler& handler)
    : m_loop(loop), m_socket(std::move(socket)), m_guard(loop),
      m_handler(handler), m_more(loop), m_space(loop)
{
}

awaitable<void> caller_session::run()
{
    const auto keep = shared_from_this();
    error_code ignored; // Without it small writes only wait longer.
    m_socket.set_option(tcp::no_delay(true), ignored);
    start(m_loop, read_all());
    while (!m_is_last)
    {
        // In a condition beside another operand, g++ 12 asks that operand
        // once more after the wait.
        const bool is_read = co_await read_request();
        if (!is_read)
            break;
        m_is_busy = true;
        co_await m_handler.answer(keep, std::move(m_request));
        m_is_busy = false;
        m_on_left = nullptr;
        m_on_ending = nullptr;
        m_is_last = m_is_last || m_handler.is_stopping();
    }
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
    m_space.set();
}

awaitable<void> caller_session::read_all()
{
    const auto keep = shared_from_this();
    for (;;)
    {
        error_code fault;
        const std::size_t count = co_await m_socket.async_read_some(
            asio::buffer(m_chunk), into(fault));
        if (fault)
        {
            co_await leave(fault == asio::error::eof);
            co_return;
        }
        m_received.append(m_chunk.data(), count);
        m_more.set();
        while (m_received.size() > read_ahead && m_socket.is_open())
            co_await m_space.wait(std::chrono::seconds(1));
    }
}

awaitable<void> caller_session::leave(bool is_orderly)
{
    m_is_ended = true;
    m_more.set();
    // A close that may have come long ago was read late: the caller's time is
    // over already.
    const duration unseen = m_handler.lateness();
    const bool may_want_answer =
        is_orderly && (m_is_busy || !m_received.empty());
    if (may_want_answer && unseen < left_time)
    {
        loop_timer timer(m_loop,
                         std::min(half_closed_time, left_time - unseen));
        error_code ignored; // Nobody cancels it.
        co_await timer.async_wait(into(ignored));
    }
    note_left();
}

void caller_session::note_left()
{
    m_has_left = true;
    m_more.set();
    if (m_on_left)
        std::exchange(m_on_left, nullptr)();
}

// A process that was stopped or is behind finds a request and the close after
// it at the same time, and comes to the request first. Sent on, it would keep
// a target busy for a caller who left long ago.
bool caller_session::has_left_unseen()
{
    if (m_has_left || m_handler.lateness() < left_time)
        return m_has_left;
    error_code fault;
    m_socket.non_blocking(true, fault);
    char one = 0;
    const std::size_t count = m_socket.receive(
        asio::buffer(&one, 1), tcp::socket::message_peek, fault);
    const bool is_waiting =
        fault == asio::error::would_block || fault == asio::error::try_again;
    if (!is_waiting && count == 0)
        note_left();
    return m_has_left;
}

unsigned caller_session::parse(parser& reading)
{
    while (!m_received.empty() && !reading.is_done())
    {
        error_code fault;
        const std::size_t used = reading.put(asio::buffer(m_received), fault);
        m_received.erase(0, used);
        m_space.set();
        if (fault == http::error::need_more)
            return 0;
        if (fault)
        {
            runtime::event("request_malformed")
                .with("fault", fault.message())
                .info();
            return status_of(fault);
        }
        if (reading.is_header_done() && is_ambiguous(reading.get()))
        {
            runtime::event("request_malformed")
                .with("fault", "two readings of its end or host")
                .info();
            return 400;
        }
        if (used == 0)
            return 0;
    }
    return 0;
}

awaitable<bool> caller_session::read_request()
{
    const catalog::caller_limits limits = m_handler.limits();
    parser reading;
    reading.eager(true);
    reading.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    reading.body_limit(limits.body_bytes);
    bool is_continued = false;
    for (;;)
    {
        const bool is_begun = reading.got_some() || !m_received.empty();
        if (const unsigned status = parse(reading))
        {
            co_await reject(status);
            co_return false;
        }
        if (reading.is_done())
            break;
        if (m_is_ended)
            co_return false;
        const bool expects = reading.is_header_done() && !is_continued &&
                             reading.get().count(http::field::expect) > 0;
        if (expects)
        {
            is_continued = true;
            co_await send("HTTP/1.1 100 Continue\r\n\r\n");
        }
        const duration most = is_begun && !reading.is_header_done()
                                  ? limits.header_time
                                  : limits.idle_time;
        const bool is_more = co_await m_more.wait(most);
        if (m_is_last && !is_begun)
            co_return false;
        if (is_more || m_is_ended)
            continue;
        if (is_begun)
            co_await reject(408);
        co_return false;
    }
    m_request = reading.release();
    if (!m_request.keep_alive())
        m_is_last = true;
    co_return true;
}

awaitable<void> caller_session::reject(unsigned status)
{
    close_after();
    co_await send_answer(status, {}, {});
}

awaitable<bool> caller_session::send(std::string bytes)
{
    if (!m_socket.is_open())
        co_return false;
    m_guard.expires_after(write_time);
    m_guard.async_wait(
        [weak = weak_from_this()](const error_code& fault)
        {
            const auto self = weak.lock();
            if (!fault && self)
                self->break_off();
        });
    error_code fault;
    co_await asio::async_write(m_socket, asio::buffer(bytes), into(fault));
    m_guard.cancel();
    co_return !fault;
}

awaitable<void> caller_session::send_answer(unsigned status, http_fields fields,
                                            std::string body)
{
    fields.set(http::field::content_length, std::to_string(body.size()));
    if (!stays_open())
        fields.set(http::field::connection, "close");
    std::string bytes = head_bytes(status, fields);
    bytes += body;
    if (!co_await send(std::move(bytes)))
        close_after();
}

void caller_session::break_off()
{
    error_code ignored; // Closing a dead socket may fail; it is gone anyway.
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
    m_is_last = true;
    m_more.set();
}

void caller_session::close_if_idle()
{
    if (m_is_busy || !m_received.empty())
        return;
    m_is_last = true;
    m_more.set();
}

} // namespace mangofold::serving
