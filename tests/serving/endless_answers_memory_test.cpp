#include "support/endless_targets.hpp"

#include <doctest/doctest.h>

#include <malloc.h>

#include <cstdlib>
#include <new>

using namespace mangofold::test;
using namespace std::chrono_literals;

namespace
{

std::size_t allocated_bytes = 0;
std::size_t peak_bytes = 0;

void* allocate(std::size_t size)
{
    void* const memory = std::malloc(size);
    if (memory == nullptr)
        throw std::bad_alloc();
    allocated_bytes += malloc_usable_size(memory);
    peak_bytes = std::max(peak_bytes, allocated_bytes);
    return memory;
}

void release(void* memory)
{
    if (memory != nullptr)
        allocated_bytes -= malloc_usable_size(memory);
    std::free(memory);
}

constexpr std::size_t mebibyte = 1U << 20U;
constexpr int targets = 100;

/// Returns by how much the allocated bytes grew at most while \a targets
/// targets answered one request each with \a first and then with 4 MiB of
/// \a repeated.
std::size_t growth(const std::string& service, const std::string& path,
                   const std::string& first, const std::string& repeated)
{
    endless_targets entry;
    for (int added = 0; added < targets; ++added)
        entry.add_endless(service, first, repeated, {},
                          repeated.empty() ? 0
                                           : 4 * mebibyte / repeated.size());
    entry.settle();
    const std::size_t before = allocated_bytes;
    peak_bytes = before;
    std::vector<std::shared_ptr<endless_targets::caller>> callers;
    for (int asked = 0; asked < targets; ++asked)
    {
        callers.push_back(entry.connect());
        entry.send(*callers.back(),
                   request_text(path, "r" + std::to_string(asked)));
    }
    for (int step = 0; step < 1500; ++step)
        entry.loop.run_for(1ms);
    CHECK(entry.requests_received == targets);
    return peak_bytes - before;
}

const std::string chunked =
    "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string block(16384, 'a');

} // namespace

void* operator new(std::size_t size)
{
    return allocate(size);
}

void operator delete(void* memory) noexcept
{
    release(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    release(memory);
}

// Guards against an entry that runs out of memory when many targets send bytes
// without end at once.
TEST_CASE("answers without end of many targets take bounded memory")
{
    struct answer
    {
        std::string service;
        std::string path;
        std::string first;
        std::string repeated;
    };
    const std::vector<answer> answers{
        {"plain", "/once/", chunked, "4000\r\n" + block + "\r\n"},
        {"plain", "/once/", chunked + "1;", block},
        {"plain", "/once/", chunked + "0\r\nX: ", block},
        {"events", "/once-events/", chunked, "4000\r\n" + block + "\r\n"},
        {"plain", "/once/", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"plain", "/once/", "HTTP/1.1 200 OK\r\n", "X: " + block + "\r\n"}};
    for (const answer& given : answers)
    {
        CAPTURE(given.first);
        CAPTURE(given.path);
        const std::size_t grown =
            growth(given.service, given.path, given.first, given.repeated);
        CAPTURE(grown / mebibyte);
        CHECK(grown < 128 * mebibyte);
    }
}

// Guards against memory set aside for a body that is announced and never sent.
TEST_CASE("the announced lengths of bodies of many targets take no memory")
{
    const std::size_t grown = growth(
        "plain", "/once/",
        "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 30000000\r\n\r\n", "a");
    CHECK(grown < 16 * mebibyte);
}
