#pragma once

#include <boost/asio.hpp>

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>

namespace mangofold::tests
{

/// A target that answers each run, except for inputs that contain "poison": on
/// those it acts like a process that crashes and restarts at once, and closes
/// the connection without an answer. On "broken" it answers without a valid
/// status.
class crashing_target
{
public:
    crashing_target()
        : m_acceptor(m_loop, {boost::asio::ip::address_v4::loopback(), 0}),
          m_port(m_acceptor.local_endpoint().port())
    {
        accept();
        m_thread = std::thread([this] { m_loop.run(); });
    }

    ~crashing_target()
    {
        m_loop.stop();
        m_thread.join();
    }

    crashing_target(const crashing_target&) = delete;
    crashing_target& operator=(const crashing_target&) = delete;

    std::uint16_t port() const { return m_port; }
    unsigned crash_count() const { return m_crash_count; }
    unsigned broken_count() const { return m_broken_count; }

private:
    using tcp_socket = boost::asio::ip::tcp::socket;

    struct connection
    {
        explicit connection(tcp_socket accepted) : socket(std::move(accepted))
        {
        }
        tcp_socket socket;
        boost::asio::streambuf bytes;
    };

    void accept()
    {
        m_acceptor.async_accept(
            [this](boost::system::error_code fault, tcp_socket accepted)
            {
                if (fault)
                    return;
                read(std::make_shared<connection>(std::move(accepted)));
                accept();
            });
    }

    void read(const std::shared_ptr<connection>& client)
    {
        boost::asio::async_read(
            client->socket, client->bytes, boost::asio::transfer_at_least(1),
            [this, client](boost::system::error_code fault, std::size_t)
            {
                if (fault)
                    return;
                const auto begin =
                    boost::asio::buffers_begin(client->bytes.data());
                const std::string text(
                    begin,
                    begin + static_cast<std::ptrdiff_t>(client->bytes.size()));
                const std::optional<std::string> body = body_of(text);
                if (!body)
                    return read(client);
                client->bytes.consume(client->bytes.size());
                answer(client, *body);
            });
    }

    /// Returns the body of the request in \a text, if it is complete.
    static std::optional<std::string> body_of(const std::string& text)
    {
        const std::size_t head_end = text.find("\r\n\r\n");
        const std::size_t length_field = text.find("Content-Length: ");
        if (head_end == std::string::npos || length_field == std::string::npos)
            return std::nullopt;
        const std::size_t size = std::stoul(text.substr(length_field + 16));
        if (text.size() < head_end + 4 + size)
            return std::nullopt;
        return text.substr(head_end + 4, size);
    }

    void answer(const std::shared_ptr<connection>& client,
                const std::string& body)
    {
        if (body.find("poison") != std::string::npos)
        {
            ++m_crash_count;
            client->socket.close();
            return;
        }
        const auto run_request = nlohmann::json::parse(body);
        const std::string answer_body = nlohmann::json{
            {"request_id", run_request.value("request_id", "")},
            {"stage", run_request.value("stage", "")},
            {"output", 1}}.dump();
        const bool is_broken = body.find("broken") != std::string::npos;
        m_broken_count += is_broken ? 1 : 0;
        const std::string reply =
            std::string(is_broken ? "HTTP/1.1 000 None" : "HTTP/1.1 200 OK") +
            "\r\nContent-Length: " + std::to_string(answer_body.size()) +
            "\r\n\r\n" + answer_body;
        boost::system::error_code ignored; // The caller may have gone.
        boost::asio::write(client->socket, boost::asio::buffer(reply), ignored);
        read(client);
    }

    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::atomic<unsigned> m_crash_count{0};
    std::atomic<unsigned> m_broken_count{0};
    std::thread m_thread;
};

} // namespace mangofold::tests
