#pragma once

#include "serving/asio.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mangofold::test
{

/// Path of questions for the status of a target.
inline const std::string status_path = "/status";

/// A target on loopback that answers each request with bytes that a test
/// supplies, to reproduce broken, late or repeated answers.
class scripted_target
{
public:
    /// Reaction to one request: the bytes to send, and what happens to the
    /// connection after them.
    struct response
    {
        std::string bytes;
        enum class connection_action
        {
            keep,
            close,
            reset,
            finish,  ///< Closes in order, also if bytes of the peer are unread.
            exit,    ///< The target ends: all its connections close, in order.
            restart, ///< Like exit, and a new process has its address at once.
            hang     ///< Like keep, for answers that never arrive or complete.
        } action = connection_action::keep;
        serving::duration delay{}; ///< Before the bytes are sent.
        /// Between the bytes and what happens to the connection.
        serving::duration action_delay{};
        /// Sent after the bytes, again and again, \a repeats times or until the
        /// caller closes the connection.
        std::string repeated{};
        std::size_t repeats = static_cast<std::size_t>(-1);
        serving::duration interval{}; ///< Before each repetition.
    };
    /// Called with the bytes of each request, including its head, and its
    /// number from 0.
    using script =
        std::function<response(const std::string& request, std::size_t number)>;

    scripted_target(serving::asio::io_context& loop, script respond);

    std::string address() const;

    /// Has the target answer questions for its status with \a reply. They are
    /// no requests.
    void set_status(response reply) { m_status = std::move(reply); }
    std::size_t status_questions() const { return m_status_questions; }

    /// Has the target react to the head of a request, while its body is being
    /// sent.
    void set_answers_early() { m_answers_early = true; }

    /// Has the target reset connections beyond \a count.
    void set_max_connections(std::size_t count) { m_max_connections = count; }
    /// Closes the newest connection in order.
    void close_newest();

    /// Closes all connections in order, and listens no more.
    void exit();
    /// Listens no more, and keeps its connections.
    void stop_listening();
    /// Listens again at its address.
    void restart();

    const std::vector<std::string>& requests() const { return m_requests; }
    std::size_t connections() const { return m_connections; }

    /// Returns the number of connections that the caller has closed.
    std::size_t closed_by_peer() const { return m_closed; }

private:
    serving::awaitable<void> accept();
    serving::awaitable<void>
    serve(std::shared_ptr<serving::tcp::socket> socket);

    serving::asio::io_context& m_loop;
    serving::tcp::acceptor m_acceptor;
    serving::tcp::endpoint m_endpoint;
    std::vector<std::weak_ptr<serving::tcp::socket>> m_sockets;
    response m_status{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    std::size_t m_status_questions = 0;
    std::size_t m_max_connections = static_cast<std::size_t>(-1);
    bool m_answers_early = false;
    script m_script;
    std::vector<std::string> m_requests;
    std::size_t m_connections = 0;
    std::size_t m_closed = 0;
};

} // namespace mangofold::test
