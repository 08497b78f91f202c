#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace mangofold::tests
{

/// A server that answers the first requests of each connection, then reads
/// another request and closes the connection without a response.
class closing_server
{
public:
    /// Starts the server, which answers \a answered requests of each
    /// connection.
    explicit closing_server(unsigned answered) : m_max_answers(answered)
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

    ~closing_server()
    {
        shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        close(m_socket);
    }

    closing_server(const closing_server&) = delete;
    closing_server& operator=(const closing_server&) = delete;

    std::uint16_t port() const { return m_port; }
    /// Returns the number of requests received.
    unsigned requests() const { return m_requests; }

private:
    void serve()
    {
        while (true)
        {
            const int peer = accept(m_socket, nullptr, nullptr);
            if (peer < 0)
                return;
            unsigned answers = 0;
            while (read_request(peer) && answers < m_max_answers)
            {
                ++answers;
                const std::string reply =
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
                send(peer, reply.data(), reply.size(), MSG_NOSIGNAL);
            }
            close(peer);
        }
    }

    bool read_request(int peer)
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
        ++m_requests;
        return true;
    }

    unsigned m_max_answers;
    int m_socket = -1;
    std::uint16_t m_port = 0;
    std::atomic<unsigned> m_requests{0};
    std::thread m_thread;
};

} // namespace mangofold::tests
