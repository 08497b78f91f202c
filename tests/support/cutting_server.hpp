#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>
#include <thread>

namespace mangofold::tests
{

/// A server that answers each connection's first request with some bytes, and
/// then closes the connection in order, as the system does for a process that
/// has been killed.
class cutting_server
{
public:
    explicit cutting_server(std::string answer) : m_answer(std::move(answer))
    {
        m_socket = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(m_socket, 8);
        getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }

    ~cutting_server()
    {
        shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        close(m_socket);
    }

    cutting_server(const cutting_server&) = delete;
    cutting_server& operator=(const cutting_server&) = delete;

    std::uint16_t port() const { return m_port; }

private:
    void serve()
    {
        while (true)
        {
            const int peer = accept(m_socket, nullptr, nullptr);
            if (peer < 0)
                return;
            if (read_head(peer))
                send(peer, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
            close(peer);
        }
    }

    static bool read_head(int peer)
    {
        std::string received;
        char buffer[1024];
        while (received.find("\r\n\r\n") == std::string::npos)
        {
            const ssize_t size = recv(peer, buffer, sizeof buffer, 0);
            if (size <= 0)
                return false;
            received.append(buffer, static_cast<std::size_t>(size));
        }
        return true;
    }

    std::string m_answer;
    int m_socket = -1;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

} // namespace mangofold::tests
