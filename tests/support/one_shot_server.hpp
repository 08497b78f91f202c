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
/// one more and closes without an answer.
class one_shot_server
{
public:
    explicit one_shot_server(unsigned answered) : m_answered(answered)
    {
        m_socket = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in here{};
        here.sin_family = AF_INET;
        here.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof here;
        bind(m_socket, reinterpret_cast<sockaddr*>(&here), sizeof here);
        listen(m_socket, 8);
        getsockname(m_socket, reinterpret_cast<sockaddr*>(&here), &size);
        m_port = ntohs(here.sin_port);
        m_thread = std::thread([this] { serve(); });
    }

    ~one_shot_server()
    {
        shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        close(m_socket);
    }

    one_shot_server(const one_shot_server&) = delete;
    one_shot_server& operator=(const one_shot_server&) = delete;

    std::uint16_t port() const { return m_port; }
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
            while (read_request(peer) && answers < m_answered)
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
        std::string seen;
        char block[1024];
        while (seen.find("\r\n\r\n") == std::string::npos)
        {
            const ssize_t got = recv(peer, block, sizeof block, 0);
            if (got <= 0)
                return false;
            seen.append(block, static_cast<std::size_t>(got));
        }
        ++m_requests;
        return true;
    }

    unsigned m_answered;
    int m_socket = -1;
    std::uint16_t m_port = 0;
    std::atomic<unsigned> m_requests{0};
    std::thread m_thread;
};

} // namespace mangofold::tests
