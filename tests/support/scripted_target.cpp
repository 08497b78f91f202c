#include "support/scripted_target.hpp"

#include "serving/loop_timer.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <array>

namespace mangofold::test
{

using namespace serving;

namespace
{

/// Returns the length of the first complete request in \a bytes, or of its
/// head if \a is_head_enough, or 0.
std::size_t request_length(const std::string& bytes, bool is_head_enough)
{
    const std::size_t head = bytes.find("\r\n\r\n");
    if (head == std::string::npos)
        return 0;
    if (is_head_enough)
        return head + 4;
    std::size_t body = 0;
    const std::size_t field = bytes.find("Content-Length: ");
    if (field < head)
        body = std::stoul(bytes.substr(field + 16));
    const std::size_t length = head + 4 + body;
    return bytes.size() < length ? 0 : length;
}

awaitable<void> send_response(asio::io_context& loop, tcp::socket& socket,
                              const scripted_target::response& reply)
{
    error_code fault;
    if (reply.delay > duration::zero())
    {
        loop_timer timer(loop, reply.delay);
        co_await timer.async_wait(store_error_in(fault));
    }
    if (!reply.bytes.empty())
        co_await asio::async_write(socket, asio::buffer(reply.bytes),
                                   store_error_in(fault));
    for (std::size_t sent = 0; sent < reply.repeats && !reply.repeated.empty();
         ++sent)
    {
        if (reply.interval > duration::zero())
        {
            loop_timer timer(loop, reply.interval);
            co_await timer.async_wait(store_error_in(fault));
        }
        co_await asio::async_write(socket, asio::buffer(reply.repeated),
                                   store_error_in(fault));
        if (fault)
            co_return;
    }
    if (reply.action_delay > duration::zero())
    {
        loop_timer timer(loop, reply.action_delay);
        co_await timer.async_wait(store_error_in(fault));
    }
}

} // namespace

scripted_target::scripted_target(asio::io_context& loop, script respond)
    : m_loop(loop),
      m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_endpoint(m_acceptor.local_endpoint()), m_script(std::move(respond))
{
    spawn(loop, accept());
}

std::string scripted_target::address() const
{
    return "127.0.0.1:" + std::to_string(m_endpoint.port());
}

void scripted_target::stop_listening()
{
    error_code ignored; // It may have stopped already.
    m_acceptor.close(ignored);
}

void scripted_target::close_newest()
{
    if (const auto socket = m_sockets.back().lock())
        socket->close();
}

void scripted_target::exit()
{
    stop_listening();
    for (const auto& weak : m_sockets)
        if (const auto socket = weak.lock())
        {
            error_code ignored; // The peer may have closed it.
            socket->close(ignored);
        }
    m_sockets.clear();
}

void scripted_target::restart()
{
    m_acceptor = tcp::acceptor(m_loop, m_endpoint);
    m_max_connections = static_cast<std::size_t>(-1);
    spawn(m_loop, accept());
}

awaitable<void> scripted_target::accept()
{
    for (;;)
    {
        error_code fault;
        auto socket = std::make_shared<tcp::socket>(
            co_await m_acceptor.async_accept(store_error_in(fault)));
        if (fault)
            co_return;
        ++m_connections;
        std::erase_if(m_sockets, [](const auto& weak)
                      { return weak.expired() || !weak.lock()->is_open(); });
        if (m_sockets.size() >= m_max_connections)
        {
            socket->set_option(asio::socket_base::linger(true, 0), fault);
            socket->close(fault);
            continue;
        }
        m_sockets.push_back(socket);
        spawn(m_loop, serve(std::move(socket)));
    }
}

awaitable<void> scripted_target::serve(std::shared_ptr<tcp::socket> socket)
{
    std::string bytes;
    std::array<char, 4096> chunk{};
    for (;;)
    {
        error_code fault;
        const std::size_t count = co_await socket->async_read_some(
            asio::buffer(chunk), store_error_in(fault));
        if (fault)
        {
            ++m_closed;
            co_return;
        }
        bytes.append(chunk.data(), count);
        const std::size_t length = request_length(bytes, m_answers_early);
        if (length == 0)
            continue;
        const std::string request = bytes.substr(0, length);
        bytes.erase(0, length);
        const bool is_question =
            request.starts_with("GET " + status_path + " ");
        m_status_questions += is_question ? 1 : 0;
        if (!is_question)
            m_requests.push_back(request);
        const response reply =
            is_question ? m_status : m_script(request, m_requests.size() - 1);
        co_await send_response(m_loop, *socket, reply);
        using action = response::connection_action;
        if (reply.action == action::exit || reply.action == action::restart)
            exit();
        if (reply.action == action::restart)
            restart();
        if (reply.action == action::reset)
            socket->set_option(asio::socket_base::linger(true, 0), fault);
        // Without this, a close resets the connection if bytes are unread.
        if (reply.action == action::finish)
            socket->shutdown(tcp::socket::shutdown_send, fault);
        if (reply.action != action::keep && reply.action != action::hang)
        {
            // The socket's destructor would not send a reset.
            socket->close(fault);
            co_return;
        }
    }
}

} // namespace mangofold::test
