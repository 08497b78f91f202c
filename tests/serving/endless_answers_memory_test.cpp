#include "support/counted_memory.hpp"
#include "support/endless_targets.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;
using namespace std::chrono_literals;

namespace
{

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
    const std::size_t before = allocated_bytes();
    reset_peak();
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
    return peak_bytes() - before;
}

const std::string chunked =
    "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string block(16384, 'a');

} // namespace

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
