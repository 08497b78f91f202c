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

/// A target that answers each run, and ends under one whose input holds
/// "poison": its connection is lost, and it is back at once.
class ending_target
{
public:
    ending_target()
        : m_acceptor(m_loop, {boost::asio::ip::address_v4::loopback(), 0}),
          m_port(m_acceptor.local_endpoint().port())
    {
        accept();
        m_thread = std::thread([this] { m_loop.run(); });
    }

    ~ending_target()
    {
        m_loop.stop();
        m_thread.join();
    }

    ending_target(const ending_target&) = delete;
    ending_target& operator=(const ending_target&) = delete;

    std::uint16_t port() const { return m_port; }
    unsigned ended() const { return m_ended; }

private:
    using socket = boost::asio::ip::tcp::socket;

    struct connection
    {
        explicit connection(socket opened) : peer(std::move(opened)) {}
        socket peer;
        boost::asio::streambuf bytes;
    };

    void accept()
    {
        m_acceptor.async_accept(
            [this](boost::system::error_code fault, socket opened)
            {
                if (fault)
                    return;
                read(std::make_shared<connection>(std::move(opened)));
                accept();
            });
    }

    void read(const std::shared_ptr<connection>& one)
    {
        boost::asio::async_read(
            one->peer, one->bytes, boost::asio::transfer_at_least(1),
            [this, one](boost::system::error_code fault, std::size_t)
            {
                if (fault)
                    return;
                const auto begin =
                    boost::asio::buffers_begin(one->bytes.data());
                const std::string text(
                    begin,
                    begin + static_cast<std::ptrdiff_t>(one->bytes.size()));
                const std::optional<std::string> body = body_of(text);
                if (!body)
                    return read(one);
                one->bytes.consume(one->bytes.size());
                answer(one, *body);
            });
    }

    /// Returns the body of the request in \a text, once it is whole.
    static std::optional<std::string> body_of(const std::string& text)
    {
        const std::size_t end = text.find("\r\n\r\n");
        const std::size_t named = text.find("Content-Length: ");
        if (end == std::string::npos || named == std::string::npos)
            return std::nullopt;
        const std::size_t size = std::stoul(text.substr(named + 16));
        if (text.size() < end + 4 + size)
            return std::nullopt;
        return text.substr(end + 4, size);
    }

    void answer(const std::shared_ptr<connection>& one, const std::string& body)
    {
        if (body.find("poison") != std::string::npos)
        {
            ++m_ended;
            one->peer.close();
            return;
        }
        const auto asked = nlohmann::json::parse(body);
        const std::string made = nlohmann::json{
            {"request_id", asked.value("request_id", "")},
            {"stage", asked.value("stage", "")},
            {"output", 1}}.dump();
        const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                  std::to_string(made.size()) + "\r\n\r\n" +
                                  made;
        boost::system::error_code ignored; // The caller may have left.
        boost::asio::write(one->peer, boost::asio::buffer(reply), ignored);
        read(one);
    }

    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::atomic<unsigned> m_ended{0};
    std::thread m_thread;
};

} // namespace mangofold::tests
