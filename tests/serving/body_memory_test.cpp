#include "support/counted_memory.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t memory_bytes = 64'000'000;
const std::string long_body(4'000'000, 'b');

std::string head_text(const std::string& id, const std::string& fields,
                      const std::string& key = "good-key")
{
    return "POST /once/ HTTP/1.1\r\nHost: h\r\nKey: " + key + "\r\nId: " + id +
           "\r\nBudget: 4000\r\n" + fields + "\r\n";
}

std::string length_field(std::size_t length)
{
    return "Content-Length: " + std::to_string(length) + "\r\n";
}

/// An entry with a memory limit, callers that send long bodies, and a target
/// that takes connections and reads nothing until it is told to.
struct limited_entry : serving_fixture
{
    limited_entry() : serving_fixture(memory_bytes)
    {
        context->directory.note(
            {"t1",
             "plain",
             "127.0.0.1:" + std::to_string(target.local_endpoint().port()),
             "a",
             100,
             false,
             1,
             {},
             "v1"});
    }

    /// Sends \a head and then \a body, which must outlive the call's bytes.
    std::shared_ptr<caller> begin(const std::string& head,
                                  const std::string& body)
    {
        auto from = connect();
        send(*from, head);
        asio::async_write(from->socket, asio::buffer(body),
                          [from](const error_code&, std::size_t) {});
        callers.push_back(from);
        return from;
    }

    void pass(duration time_passed)
    {
        for (duration passed{}; passed < time_passed; passed += 1ms)
        {
            loop.run_for(1ms);
            time.advance(1ms);
        }
    }

    /// Has the target read and answer all that it was sent.
    void serve() { spawn(loop, accept()); }

    awaitable<void> accept()
    {
        for (;;)
        {
            error_code fault;
            auto socket = co_await target.async_accept(store_error_in(fault));
            if (fault)
                co_return;
            spawn(loop, answer(std::move(socket)));
        }
    }

    awaitable<void> answer(tcp::socket socket)
    {
        std::array<char, 65536> chunk{};
        std::string head;
        std::size_t body = 0;
        std::size_t length = 1;
        while (body < length)
        {
            error_code fault;
            const std::size_t count = co_await socket.async_read_some(
                asio::buffer(chunk), store_error_in(fault));
            if (fault)
                co_return;
            if (head.find("\r\n\r\n") != std::string::npos)
            {
                body += count;
                continue;
            }
            head.append(chunk.data(), count);
            const std::size_t end = head.find("\r\n\r\n");
            if (end == std::string::npos)
                continue;
            body = head.size() - end - 4;
            length =
                std::stoul(head.substr(head.find("Content-Length: ") + 16));
        }
        bodies_read += body;
        const std::string id = head.substr(head.find("Id: ") + 4, 2);
        error_code ignored;
        co_await asio::async_write(socket,
                                   asio::buffer(response_text(id, "done")),
                                   store_error_in(ignored));
    }

    std::size_t count(const std::string& text) const
    {
        return static_cast<std::size_t>(std::count_if(
            callers.begin(), callers.end(),
            [&](const auto& each)
            { return each->received.find(text) != std::string::npos; }));
    }

    tcp::acceptor target{loop,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::vector<std::shared_ptr<caller>> callers;
    std::size_t bodies_read = 0;
};

} // namespace

// Guards against an entry that exceeds its memory limit in a burst of long
// bodies.
TEST_CASE("a burst of long bodies stays within the memory limit")
{
    limited_entry entry;
    entry.settle();
    const std::size_t before = allocated_bytes();
    reset_peak();
    for (int number = 10; number < 50; ++number)
        entry.begin(
            head_text(std::to_string(number), length_field(long_body.size())),
            long_body);
    entry.pass(1s);
    CHECK(peak_bytes() - before < memory_bytes);
    entry.serve();
    entry.pass(2s);
    const std::size_t served = entry.count("200 OK");
    const std::size_t refused = entry.count("503 ");
    CHECK(served >= 5);
    CHECK(served + refused == 40);
    CHECK(refused == entry.count("Retry-After: "));
    CHECK(entry.bodies_read == served * long_body.size());
}
