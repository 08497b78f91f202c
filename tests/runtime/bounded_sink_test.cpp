#include "runtime/bounded_sink.hpp"

#include <doctest/doctest.h>
#include <spdlog/logger.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <climits>

using mangofold::runtime::bounded_sink;

namespace
{

std::string read_all(int descriptor)
{
    std::string text;
    std::array<char, 65536> chunk{};
    for (ssize_t count = read(descriptor, chunk.data(), chunk.size());
         count > 0; count = read(descriptor, chunk.data(), chunk.size()))
        text.append(chunk.data(), static_cast<std::size_t>(count));
    return text;
}

} // namespace

// Guards against requests that wait for the reader of the log: when the reader
// of the pipe stalls and the pipe is full, a blocking write would stop the
// event loop.
TEST_CASE("a stalled reader does not block the logger, and drops are counted")
{
    std::array<int, 2> pipe_ends{};
    REQUIRE(pipe(pipe_ends.data()) == 0);
    const auto sink = std::make_shared<bounded_sink>(pipe_ends[1]);
    spdlog::logger logger("log", sink);
    const std::string line(1000, 'x');
    constexpr int lines = 5000;
    for (int logged = 0; logged < lines; ++logged)
        logger.info(line);
    CHECK(sink->dropped() > 0);
    CHECK(sink->dropped() < lines);

    bounded_sink(pipe_ends[0]).flush(); // Makes the read end non-blocking.
    std::string read;
    for (int flushes = 0; flushes < 100; ++flushes)
    {
        read += read_all(pipe_ends[0]);
        logger.flush();
    }
    CHECK(read.find("log_lines_dropped") != std::string::npos);
    close(pipe_ends[0]);
    close(pipe_ends[1]);
}

// Guards against lines that a log collector cuts off: it takes each write as
// one message and keeps only the first kilobytes of it.
TEST_CASE("a reader that takes a part of each long write gets whole lines")
{
    std::array<int, 2> ends{};
    REQUIRE(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends.data()) == 0);
    spdlog::logger logger("log", std::make_shared<bounded_sink>(ends[1]));
    logger.set_pattern("%v");
    constexpr std::size_t lines = 100;
    constexpr std::size_t line_bytes = 250;
    const std::string line(line_bytes, 'x');
    for (std::size_t logged = 0; logged < lines; ++logged)
        logger.info(line);
    logger.flush();
    std::string received;
    std::array<char, PIPE_BUF> message{};
    for (;;)
    {
        const ssize_t count =
            recv(ends[0], message.data(), message.size(), MSG_DONTWAIT);
        if (count <= 0)
            break;
        received.append(message.data(), static_cast<std::size_t>(count));
    }
    CHECK(received.size() == lines * (line_bytes + 1));
    close(ends[0]);
    close(ends[1]);
}
