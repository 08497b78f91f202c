#include "serving/request_server.hpp"
#include "serving/source_reader.hpp"
#include "support/accept_all.hpp"
#include "support/serving_fixture.hpp"
#include "support/stub_source.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

constexpr int page_count = 3;

/// A source whose target list has one target on each page. The target's id
/// contains the page number.
class paged_dialect : public test::stub_source
{
public:
    http_request targets_request(const std::string& after) const override
    {
        return {http::verb::get, "/targets/" + (after.empty() ? "0" : after),
                11};
    }

    source_page parse_targets(std::string_view body) const override
    {
        const int number = std::stoi(std::string(body));
        source_page page;
        page.revision = 1;
        page.last_key = std::to_string(number + 1);
        page.has_more = number + 1 < page_count;
        source_change change;
        change.kind = source_change::record_kind::target;
        change.target = {"t" + std::to_string(number),
                         "plain",
                         "127.0.0.1:1",
                         "a",
                         1,
                         false,
                         1};
        page.changes.push_back(std::move(change));
        return page;
    }
};

/// A server for the list of paged_dialect. Tests can make it reject requests
/// for some pages.
struct paged_source
{
    explicit paged_source(asio::io_context& event_loop)
        : loop(event_loop), acceptor(event_loop)
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
            if (request.starts_with("GET /watch"))
                continue; // Nothing changes.
            const std::string reply = answer(request);
            co_await asio::async_write(socket, asio::buffer(reply),
                                       store_error_in(fault));
        }
    }

    std::string answer(const std::string& request)
    {
        constexpr std::string_view path = "GET /targets/";
        std::string body = "7"; // The catalog's version.
        if (request.starts_with(path))
        {
            body = request.substr(path.size(), 1);
            ++requests_by_page[body];
            if (rejected_pages.contains(body))
                return "HTTP/1.1 429 Slower\r\nContent-Length: 0\r\n\r\n";
        }
        return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body;
    }

    asio::io_context& loop;
    tcp::acceptor acceptor;
    std::map<std::string, int> requests_by_page;
    std::set<std::string> rejected_pages;
};

/// An entry that has just started and reads its targets from a paged_source.
struct starting_entry : test::serving_fixture
{
    starting_entry() : source(loop), reader(*context, dialect)
    {
        context->settings.source_address = {
            "127.0.0.1", source.acceptor.local_endpoint().port()};
        context->settings.max_configuration_delay = 3s;
        context->catalog = nullptr;
        context->has_some_targets = false;
        context->directory = {};
    }

    std::size_t known_targets() const
    {
        return context->directory.serving("plain").size();
    }

    /// Advances the time until \a done returns true, by 3 s at most.
    template<typename Done>
    void advance_until(Done done)
    {
        constexpr duration step = 50ms;
        for (int steps = 0; steps < 60 && !done(); ++steps)
        {
            time.advance(step);
            settle();
        }
    }

    paged_dialect dialect;
    paged_source source;
    source_reader reader;
};

} // namespace

// Guards against requests being refused for seconds after all entries of a
// large fleet start at once. The target list has many pages, and all entries
// read it over the source's link, so entries that wait for the last page serve
// late.
TEST_CASE("targets are used as soon as their page is read")
{
    starting_entry entry;
    entry.source.rejected_pages = {"1"};
    spawn(entry.loop, entry.reader.run());
    entry.advance_until([&]
                        { return entry.source.requests_by_page["1"] >= 2; });
    CHECK(entry.known_targets() == 1);
    CHECK(entry.context->has_some_targets);
    CHECK_FALSE(entry.context->has_all_targets);
    REQUIRE(entry.context->catalog);
    CHECK(entry.context->catalog->version() == 7);
}

// Guards against overload of the source: if the list were read again from the
// first page when a page is rejected, each rejection would cause more requests.
TEST_CASE("a failed page is requested again without the previous pages")
{
    starting_entry entry;
    entry.source.rejected_pages = {"1"};
    spawn(entry.loop, entry.reader.run());
    entry.advance_until([&]
                        { return entry.source.requests_by_page["1"] >= 3; });
    entry.source.rejected_pages.clear();
    entry.advance_until([&] { return entry.context->has_all_targets; });
    CHECK(entry.known_targets() == page_count);
    CHECK(entry.source.requests_by_page["0"] == 1);
    CHECK(entry.source.requests_by_page["2"] == 1);
}
