#include "runtime/heap.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <string>

#include <malloc.h>

using namespace mangofold;

namespace
{

constexpr std::size_t max_body_bytes = 1'000'000;
constexpr std::size_t max_live_bytes = 64'000'000;

/// Returns the memory that the process has from the system for its blocks.
std::size_t held_bytes()
{
    const auto info = mallinfo2();
    return info.arena + info.hblkhd;
}

} // namespace

// Guards against a process that runs out of memory although its bodies stay
// within their limit: freed ones leave gaps that the next ones do not fit.
TEST_CASE("bodies of changing lengths take little more memory than their bytes")
{
    runtime::return_freed_memory();
    std::mt19937 random(1);
    std::uniform_int_distribution<std::size_t> any_length(1, max_body_bytes);
    std::deque<std::string> bodies;
    std::size_t live = 0;
    std::size_t most_held = 0;
    for (int step = 0; step < 20000; ++step)
    {
        const std::size_t length = any_length(random);
        while (live + length > max_live_bytes)
        {
            std::swap(bodies.front(), bodies[random() % bodies.size()]);
            live -= bodies.front().size();
            bodies.pop_front();
        }
        live += length;
        bodies.emplace_back(length, 'b');
        most_held = std::max(most_held, held_bytes());
    }
    CAPTURE(most_held);
    CHECK(most_held < max_live_bytes + max_live_bytes / 5);
}
