#include "runtime/bounded_sink.hpp"

#include <doctest/doctest.h>
#include <spdlog/logger.h>

#include <unistd.h>

#include <array>

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
