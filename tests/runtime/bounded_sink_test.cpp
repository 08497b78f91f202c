#include "runtime/bounded_sink.hpp"

#include <doctest/doctest.h>
#include <spdlog/logger.h>

#include <unistd.h>

#include <array>

using mangofold::runtime::bounded_sink;

namespace
{

std::string read_all(int from)
{
    std::string text;
    std::array<char, 65536> chunk{};
    for (ssize_t count = read(from, chunk.data(), chunk.size()); count > 0;
         count = read(from, chunk.data(), chunk.size()))
        text.append(chunk.data(), static_cast<std::size_t>(count));
    return text;
}

} // namespace

// Every request of a process waits for whoever reads its log.
// 1. The reader of the pipe stalls. 2. The pipe is full. 3. A write that
// blocks holds the whole loop.
TEST_CASE("a stalled reader never blocks the writer, and drops are counted")
{
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    const auto sink = std::make_shared<bounded_sink>(ends[1]);
    spdlog::logger logger("log", sink);
    const std::string line(1000, 'x');
    constexpr int lines = 5000;
    for (int one = 0; one < lines; ++one)
        logger.info(line);
    CHECK(sink->dropped() > 0);
    CHECK(sink->dropped() < lines);

    bounded_sink(ends[0]).flush(); // Sets the reading end not to block.
    std::string read;
    for (int one = 0; one < 100; ++one)
    {
        read += read_all(ends[0]);
        logger.flush();
    }
    CHECK(read.find("log_lines_dropped") != std::string::npos);
    close(ends[0]);
    close(ends[1]);
}
