#include "serving/request_server.hpp"
#include "serving/source_reader.hpp"
#include "support/accept_all.hpp"
#include "support/serving_fixture.hpp"
#include "support/stub_source.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

/// A source that sends each answer in ten parts with a pause before each part,
/// as over a slow link.
struct slow_source
{
    slow_source(asio::io_context& event_loop, std::size_t bytes,
                duration part_pause)
        : loop(event_loop), pause(part_pause), acceptor(event_loop),
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
            const std::string request(chunk.data(), count);
            if (request.starts_with("GET /catalog"))
                ++catalog_requests;
            if (request.starts_with("GET /watch"))
            {
                ++watch_requests;
                if (request.starts_with("GET /watch/"))
                    ++history_requests;
                if (!is_changing)
                    continue;
            }
            const std::string body =
                request.starts_with("GET /targets") ? std::string() : catalog;
            const std::string status =
                request.starts_with("GET /watch/") ? history_status : "200 OK";
            co_await answer(socket, body, status);
        }
    }

    awaitable<void> answer(tcp::socket& socket, const std::string& body,
                           const std::string& status)
    {
        const std::size_t part = body.size() / 10;
        error_code fault;
        const std::string head = "HTTP/1.1 " + status + "\r\nContent-Length: " +
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
    std::size_t catalog_requests = 0;
    std::size_t watch_requests = 0;
    std::size_t history_requests = 0; ///< Of these, by a history_dialect.
    std::string history_status = "200 OK";
    bool is_changing = false; ///< Whether watches are answered.
};

/// The revision up to which others had followed the list.
constexpr std::uint64_t told_revision = 1;

/// A source at revision 2, in whose history a target of version "v2" was
/// written after told_revision.
class history_dialect : public test::stub_source
{
public:
    http_request watch_request(std::uint64_t revision,
                               duration time) const override
    {
        is_history_asked = revision == told_revision && time == duration();
        return is_history_asked ? http_request(http::verb::get, "/watch/1", 11)
                                : stub_source::watch_request(revision, time);
    }

    source_page parse_targets(std::string_view) const override
    {
        source_page page;
        page.revision = 2;
        return page;
    }

    source_page parse_changes(std::string_view body) const override
    {
        source_page page = stub_source::parse_changes(body);
        if (!std::exchange(is_history_asked, false))
            return page;
        source_change change;
        change.kind = source_change::record_kind::target;
        change.target.service = "chat";
        change.target.version = "v2";
        page.changes.push_back(change);
        return page;
    }

private:
    mutable bool is_history_asked = false; ///< By the last request.
};

/// An entry that has just started and reads from a slow_source.
struct starting_entry : test::serving_fixture
{
    starting_entry(std::size_t bytes, duration pause)
        : source(loop, bytes, pause), reader(*context, dialect)
    {
        context->settings.source_address = {
            "127.0.0.1", source.acceptor.local_endpoint().port()};
        context->settings.max_configuration_delay = 3s;
        context->catalog = nullptr;
        spawn(loop, reader.run());
    }

    /// Advances the time by \a time_limit, or until a catalog is in force.
    void advance(duration time_limit)
    {
        constexpr duration step = 50ms;
        for (duration elapsed{}; elapsed < time_limit && !context->catalog;
             elapsed += step)
        {
            time.advance(step);
            settle();
        }
    }

    history_dialect dialect;
    slow_source source;
    source_reader reader;
};

} // namespace

// Guards against an entry with a slow link that puts a large catalog in force
// never, or seconds after the other entries, while its link is saturated. The
// answer arrives steadily but takes longer than the time limit of a read; it
// was discarded and requested again from the first byte.
TEST_CASE("a slow but steady answer of the source is read completely")
{
    constexpr std::size_t size = 300000;
    starting_entry entry(size, 200ms);
    entry.advance(4s);
    REQUIRE(entry.context->catalog);
    CHECK(entry.context->catalog->version() == 7);
    CHECK(entry.source.catalog_requests == 1);
}

// A source that stalls or sends only some bytes per second must not keep the
// reader from repeating its request.
TEST_CASE("an answer with a few bytes per second is aborted")
{
    starting_entry entry(100, 200ms);
    entry.advance(4s);
    CHECK_FALSE(entry.context->catalog);
    CHECK(entry.source.catalog_requests >= 2);
}

TEST_CASE("a large answer that stalls midway is aborted")
{
    starting_entry entry(300000, 3s);
    entry.advance(8s);
    CHECK(entry.source.catalog_requests >= 2);
}

// Guards against an isolated entry that learns of a change too late. Its watch
// started when many entries responded, and the connection was lost silently.
// The other entries, which would have told of the change, are unreachable too.
// The entry kept waiting for up to 20 s.
TEST_CASE("an entry that loses the other entries ends a long watch")
{
    starting_entry entry(100, 1ms);
    entry.context->responding_entries = 68;
    entry.advance(1s);
    REQUIRE(entry.context->catalog);
    entry.run_until([&] { return entry.source.watch_requests == 1; });
    entry.time.advance(4s);
    entry.reader.end_long_watch();
    entry.settle();
    CHECK(entry.source.watch_requests == 1);
    entry.context->responding_entries = 1;
    entry.reader.end_long_watch();
    entry.run_until([&] { return entry.source.watch_requests == 2; });
}

// Guards against a large catalog that is not in force in time at an entry with
// a slow link. The answer to its watch starts near the end of the wait and
// takes longer than the rest of the time; it was discarded and requested again.
TEST_CASE("a watch whose answer is arriving is not ended")
{
    starting_entry entry(100000, 400ms);
    entry.source.pause = 1ms;
    entry.advance(1s);
    REQUIRE(entry.context->catalog);
    entry.run_until([&] { return entry.source.watch_requests == 1; });
    entry.source.is_changing = true;
    entry.source.pause = 400ms;
    entry.time.advance(4s); // The first watch ends without an answer.
    for (int step = 0; step < 5 && entry.source.watch_requests < 2; ++step)
    {
        entry.settle();
        entry.time.advance(50ms);
    }
    entry.run_until([&] { return entry.source.watch_requests == 2; });
    for (int step = 0; step < 9; ++step)
    {
        entry.settle();
        entry.time.advance(400ms);
        entry.settle();
        entry.reader.end_long_watch();
        entry.settle();
        CHECK(entry.source.watch_requests == 2);
    }
}

// Guards against an entry that stood still and takes an answer that has waited
// for it for one about the present list.
TEST_CASE("the list is confirmed as of the request, not of the answer")
{
    starting_entry entry(100, 1ms);
    entry.source.is_changing = true;
    entry.advance(1s);
    REQUIRE(entry.context->catalog);
    entry.source.pause = 100ms;
    const auto& versions = entry.context->versions;
    const instant before = versions.up_to_date_at();
    for (int step = 0; step < 100 && versions.up_to_date_at() == before; ++step)
    {
        entry.time.advance(50ms);
        entry.settle();
    }
    REQUIRE(versions.up_to_date_at() > before);
    CHECK(entry.context->list_current_at - versions.up_to_date_at() >= 900ms);
}

// Guards against streams that are refused although the source would tell their
// version at once: the entry waits for the end of its watch.
TEST_CASE("a list is confirmed at once where this is asked for")
{
    starting_entry entry(100, 1ms);
    entry.advance(1s);
    REQUIRE(entry.context->catalog);
    entry.run_until([&] { return entry.source.watch_requests == 1; });
    entry.time.advance(200ms);
    const instant asked_at = entry.time.now();
    entry.source.is_changing = true;
    entry.reader.confirm();
    entry.run_until([&] { return entry.source.watch_requests == 2; });
    entry.reader.confirm();
    for (int step = 0; step < 30; ++step)
    {
        entry.time.advance(1ms);
        entry.settle();
    }
    CHECK(entry.context->versions.up_to_date_at() >= asked_at);
}

namespace
{

/// Has \a entry learn that others followed the list until it started.
void tell_of_others(starting_entry& entry)
{
    entry.source.is_changing = true;
    entry.advance(1s);
    REQUIRE(entry.context->catalog);
    decision::version_history& versions = entry.context->versions;
    entry.run_until([&] { return versions.observation().has_value(); });
    const instant since = versions.observation()->since;
    versions.merge({since - 60s, since - 2s, {}, told_revision});
    REQUIRE(versions.unread_after() == told_revision);
    entry.reader.confirm();
}

} // namespace

// Guards against a version that came and went before this entry started, of
// which no record keeper was told.
TEST_CASE("changes that were missed are read for the history of versions")
{
    starting_entry entry(100, 1ms);
    tell_of_others(entry);
    const decision::version_history& versions = entry.context->versions;
    for (int step = 0; step < 100 && versions.is_unread(); ++step)
    {
        entry.time.advance(50ms);
        entry.settle();
    }
    CHECK_FALSE(versions.is_unread());
    const auto seen = versions.observation();
    CHECK(seen->last_seen.contains({"chat", "v2"}));
    CHECK(seen->until - seen->since >= 60s);
    CHECK(entry.source.history_requests == 1);
}

// Guards against spans that are joined without the changes between them, and
// against an entry that asks on for changes which the source has dropped.
TEST_CASE("changes that the source has dropped make no version certain")
{
    for (const char* status : {"410 Gone", "503 Later"})
    {
        starting_entry entry(100, 1ms);
        entry.source.history_status = status;
        tell_of_others(entry);
        const decision::version_history& versions = entry.context->versions;
        for (int step = 0; step < 40; ++step)
        {
            entry.time.advance(50ms);
            entry.settle();
        }
        CHECK(versions.is_unread());
        CHECK(versions.observation()->until - versions.observation()->since <
              60s);
        CHECK(entry.source.history_requests == 1);
        entry.reader.confirm();
        for (int step = 0; step < 40; ++step)
        {
            entry.time.advance(50ms);
            entry.settle();
        }
        CHECK(entry.source.history_requests ==
              (std::string(status) == "410 Gone" ? 1 : 2));
    }
}
