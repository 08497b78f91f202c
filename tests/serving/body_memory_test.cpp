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
const std::string no_body;

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

// Guards against bodies that take memory although their head already says that
// the request will be refused.
TEST_CASE("the body of a request with an unknown key takes no memory")
{
    limited_entry entry;
    entry.settle();
    const std::size_t before = allocated_bytes();
    reset_peak();
    const auto from = entry.begin(
        head_text("10", length_field(long_body.size()), "bad-key"), long_body);
    entry.pass(500ms);
    CHECK(peak_bytes() - before < long_body.size() / 4);
    CHECK(from->received.find("401 ") != std::string::npos);
    CHECK(from->is_ended);
    CHECK(!from->is_reset);
}

// Guards against chunked bodies that wait for each other for ever.
TEST_CASE("chunked bodies beyond the memory limit are refused, not held")
{
    std::string chunks;
    for (int chunk = 0; chunk < 60; ++chunk)
        chunks += "10000\r\n" + std::string(65536, 'c') + "\r\n";
    chunks += "0\r\n\r\n";
    limited_entry entry;
    entry.settle();
    const std::size_t before = allocated_bytes();
    reset_peak();
    for (int number = 10; number < 40; ++number)
        entry.begin(
            head_text(std::to_string(number), "Transfer-Encoding: chunked\r\n"),
            chunks);
    entry.pass(1s);
    CHECK(peak_bytes() - before < memory_bytes);
    entry.serve();
    entry.pass(2s);
    CHECK(entry.count("200 OK") >= 1);
    CHECK(entry.count("200 OK") + entry.count("503 ") == 30);
}

// Guards against "100 Continue" for a body that will not be read.
TEST_CASE("a refused request that expects 100 Continue gets the refusal only")
{
    limited_entry entry;
    const std::string fields =
        "Expect: 100-continue\r\n" + length_field(long_body.size());
    const auto refused =
        entry.begin(head_text("10", fields, "bad-key"), no_body);
    const auto accepted = entry.begin(head_text("11", fields), no_body);
    entry.pass(100ms);
    CHECK(refused->received.find("HTTP/1.1 401 ") == 0);
    CHECK(accepted->received.find("HTTP/1.1 100 ") == 0);
}
