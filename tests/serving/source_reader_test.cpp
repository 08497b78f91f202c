#include "serving/request_server.hpp"
#include "serving/source_reader.hpp"
#include "support/accept_all.hpp"
#include "support/plain_source.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

/// A source whose link passes a tenth of the catalog at a time.
struct narrow_source
{
    narrow_source(asio::io_context& its_loop, std::size_t bytes,
                  duration its_pause)
        : loop(its_loop), pause(its_pause), acceptor(its_loop),
          catalog(std::string(bytes - 1, '0') + "7")
    {
        listen_at(acceptor, {"127.0.0.1", 0});
        spawn(loop, test::accept_all(loop, acceptor,
                                     [this](tcp::socket socket)
                                     { return serve(std::move(socket)); }));
    }

    awaitable<void> serve(tcp::socket socket)
    {
        std::array<char, 4096> chunk{};
        for (;;)
        {
            error_code fault;
            const std::size_t count = co_await socket.async_read_some(
                asio::buffer(chunk), store_error_in(fault));
            if (fault)
                co_return;
            const std::string asked(chunk.data(), count);
            if (asked.starts_with("GET /catalog"))
                ++catalogs_asked;
            if (asked.starts_with("GET /watch"))
            {
                ++watches_asked;
                if (!is_changing)
                    continue;
            }
            const std::string body =
                asked.starts_with("GET /targets") ? std::string() : catalog;
            co_await answer(socket, body);
        }
    }

    awaitable<void> answer(tcp::socket& socket, const std::string& body)
    {
        const std::size_t part = body.size() / 10;
        error_code fault;
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(head),
                                   store_error_in(fault));
        for (std::size_t at = 0; at < body.size() && !fault; at += part)
        {
            loop_timer timer(loop, pause);
            co_await timer.async_wait(store_error_in(fault));
            co_await asio::async_write(socket,
                                       asio::buffer(body.data() + at, part),
                                       store_error_in(fault));
        }
    }

    asio::io_context& loop;
    duration pause;
    tcp::acceptor acceptor;
    std::string catalog;
    std::size_t catalogs_asked = 0;
    std::size_t watches_asked = 0;
    bool is_changing = false; ///< Watches are answered with the catalog.
};

/// An entry that starts, with such a source.
struct starting_entry : test::serving_fixture
{
    starting_entry(std::size_t bytes, duration pause)
        : source(loop, bytes, pause), reader(*context, speaks)
    {
        context->settings.source = {"127.0.0.1",
                                    source.acceptor.local_endpoint().port()};
        context->settings.adoption_time = 3s;
        context->catalog = nullptr;
        spawn(loop, reader.run());
    }

    void pass(duration most)
    {
        constexpr duration step = 50ms;
        for (duration gone{}; gone < most && !context->catalog; gone += step)
        {
            time.advance(step);
            settle();
        }
    }

    test::plain_source speaks;
    narrow_source source;
    source_reader reader;
};

} // namespace

// Seen: an entry with a narrow link never has a large catalog in force after
// its start, or seconds after the others; its link is full.
// 1. It reads the catalog. 2. The answer takes longer than the time for a
// whole one, though it comes steadily. 3. It was thrown away and asked for
// again, from the first byte.
TEST_CASE("an answer of the source that comes slowly is read whole")
{
    constexpr std::size_t size = 300000;
    starting_entry entry(size, 200ms);
    entry.pass(4s);
    REQUIRE(entry.context->catalog);
    CHECK(entry.context->catalog->version() == 7);
    CHECK(entry.source.catalogs_asked == 1);
}

// A source that stands still, or passes some bytes a second, must not keep
// its reader from asking again.
TEST_CASE("an answer that comes with a few bytes a second is given up")
{
    starting_entry entry(100, 200ms);
    entry.pass(4s);
    CHECK_FALSE(entry.context->catalog);
    CHECK(entry.source.catalogs_asked >= 2);
}

TEST_CASE("a large answer that stops midway is given up")
{
    starting_entry entry(300000, 3s);
    entry.pass(8s);
    CHECK(entry.source.catalogs_asked >= 2);
}

// An entry that is cut off from the others hears of a change too late.
// 1. Its watch began among many entries and was cut without a word. 2. The
// others, who would tell it, are lost too. 3. It waited on for up to 20 s.
TEST_CASE("an entry that loses the others does not go on with a long watch")
{
    starting_entry entry(100, 1ms);
    entry.context->entries_answering = 68;
    entry.pass(1s);
    REQUIRE(entry.context->catalog);
    entry.run_until([&] { return entry.source.watches_asked == 1; });
    entry.time.advance(4s);
    entry.reader.end_long_watch();
    entry.settle();
    CHECK(entry.source.watches_asked == 1);
    entry.context->entries_answering = 1;
    entry.reader.end_long_watch();
    entry.run_until([&] { return entry.source.watches_asked == 2; });
}

// A large catalog is not in force in time at an entry with a narrow link.
// 1. The answer to its watch comes near the end of the wait. 2. It takes longer
// than what is left. 3. It was thrown away and asked for again.
TEST_CASE("a watch whose answer is coming is not ended")
{
    starting_entry entry(100000, 400ms);
    entry.source.pause = 1ms;
    entry.pass(1s);
    REQUIRE(entry.context->catalog);
    entry.run_until([&] { return entry.source.watches_asked == 1; });
    entry.source.is_changing = true;
    entry.source.pause = 400ms;
    entry.time.advance(4s); // The first watch ends without an answer.
    for (int step = 0; step < 5 && entry.source.watches_asked < 2; ++step)
    {
        entry.settle();
        entry.time.advance(50ms);
    }
    entry.run_until([&] { return entry.source.watches_asked == 2; });
    for (int step = 0; step < 9; ++step)
    {
        entry.settle();
        entry.time.advance(400ms);
        entry.settle();
        entry.reader.end_long_watch();
        entry.settle();
        CHECK(entry.source.watches_asked == 2);
    }
}
