#pragma once

#include "serving/asio.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mangofold::test
{

/// A target on loopback whose answers a test writes byte by byte.
class scripted_target
{
public:
    /// What it does with one request: sends bytes, then perhaps ends.
    struct reaction
    {
        std::string bytes;
        enum class end
        {
            keep,
            close,
            reset,
            hang ///< Says nothing more, and keeps the connection.
        } then = end::keep;
    };
    /// Gets each request as it came, with its head, and its number from 0.
    using script =
        std::function<reaction(const std::string& request, std::size_t number)>;

    scripted_target(serving::asio::io_context& loop, script reacts);

    std::string address() const;
    const std::vector<std::string>& requests() const { return m_requests; }
    std::size_t connections() const { return m_connections; }

    /// Returns how many connections the other side has closed.
    std::size_t closed_by_other() const { return m_closed; }

private:
    serving::awaitable<void> accept();
    serving::awaitable<void> serve(serving::tcp::socket socket);

    serving::asio::io_context& m_loop;
    serving::tcp::acceptor m_acceptor;
    script m_script;
    std::vector<std::string> m_requests;
    std::size_t m_connections = 0;
    std::size_t m_closed = 0;
};

} // namespace mangofold::test
