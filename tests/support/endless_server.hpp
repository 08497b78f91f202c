#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>
#include <thread>

namespace mangofold::tests
{

/// A server that answers one request with bytes that do not end until the
/// caller closes the connection.
class endless_server
{
public:
    /// Starts the server, which sends \a first and then \a repeated again and
    /// again.
    endless_server(std::string first, std::string repeated)
        : m_first(std::move(first)), m_repeated(std::move(repeated))
    {
        m_socket = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(m_socket, 1);
        getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }

    ~endless_server()
    {
        shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        close(m_socket);
    }

    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    std::uint16_t port() const { return m_port; }

private:
    void serve()
    {
        const int peer = accept(m_socket, nullptr, nullptr);
        if (peer < 0)
            return;
        bool is_open = send_all(peer, m_first);
        while (is_open)
            is_open = send_all(peer, m_repeated);
        close(peer);
    }

    static bool send_all(int peer, const std::string& bytes)
    {
        return send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
    }

    std::string m_first;
    std::string m_repeated;
    int m_socket = -1;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

} // namespace mangofold::tests
