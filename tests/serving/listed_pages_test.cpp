#include "serving/request_server.hpp"
#include "serving/source_reader.hpp"
#include "support/accept_all.hpp"
#include "support/plain_source.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

constexpr int pages = 3;

/// A source whose list has one target on each of its pages, named by the
/// page's number.
class paged_dialect : public test::plain_source
{
public:
    http_request read_targets(const std::string& after) const override
    {
        return {http::verb::get, "/targets/" + (after.empty() ? "0" : after),
                11};
    }

    source_page targets_page(std::string_view body) const override
    {
        const int number = std::stoi(std::string(body));
        source_page page;
        page.revision = 1;
        page.last_key = std::to_string(number + 1);
        page.has_more = number + 1 < pages;
        source_change change;
        change.what = source_change::kind::target;
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

/// Answers from such a list; some of its pages can be refused.
struct paged_source
{
    explicit paged_source(asio::io_context& its_loop)
        : loop(its_loop), acceptor(its_loop)
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
            if (asked.starts_with("GET /watch"))
                continue; // Nothing changes.
            const std::string reply = answer(asked);
            co_await asio::async_write(socket, asio::buffer(reply),
                                       store_error_in(fault));
        }
    }

    std::string answer(const std::string& asked)
    {
        constexpr std::string_view call = "GET /targets/";
        std::string body = "7"; // The catalog's version.
        if (asked.starts_with(call))
        {
            body = asked.substr(call.size(), 1);
            ++times_asked[body];
            if (refused.contains(body))
                return "HTTP/1.1 429 Slower\r\nContent-Length: 0\r\n\r\n";
        }
        return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body;
    }

    asio::io_context& loop;
    tcp::acceptor acceptor;
    std::map<std::string, int> times_asked; ///< By page.
    std::set<std::string> refused;          ///< Pages.
};

struct starting_entry : test::serving_fixture
{
    starting_entry() : source(loop), reader(*context, speaks)
    {
        context->settings.source = {"127.0.0.1",
                                    source.acceptor.local_endpoint().port()};
        context->settings.adoption_time = 3s;
        context->catalog = nullptr;
        context->knows_targets = false;
        context->directory = {};
    }

    std::size_t known() const
    {
        return context->directory.serving("plain").size();
    }

    /// Passes time until \a done, or for a while.
    template<typename Done>
    void pass_until(Done done)
    {
        constexpr duration step = 50ms;
        for (int one = 0; one < 60 && !done(); ++one)
        {
            time.advance(step);
            settle();
        }
    }

    paged_dialect speaks;
    paged_source source;
    source_reader reader;
};

} // namespace

// Callers are refused for seconds after all entries started at once.
// 1. The list of a large fleet comes in many pages. 2. All entries read it at
// once, over one link. 3. None served before it had the last page.
TEST_CASE("targets serve from their page on")
{
    starting_entry entry;
    entry.source.refused = {"1"};
    spawn(entry.loop, entry.reader.run());
    entry.pass_until([&] { return entry.source.times_asked["1"] >= 2; });
    CHECK(entry.known() == 1);
    CHECK(entry.context->knows_targets);
    CHECK_FALSE(entry.context->knows_all_targets);
    REQUIRE(entry.context->catalog);
    CHECK(entry.context->catalog->version() == 7);
}

// The same fleet asks the source for more than it answers in a second.
// 1. A page is refused. 2. The list was read again from its first page, and
// the more were refused the more was asked.
TEST_CASE("a page that fails is asked for again without those before it")
{
    starting_entry entry;
    entry.source.refused = {"1"};
    spawn(entry.loop, entry.reader.run());
    entry.pass_until([&] { return entry.source.times_asked["1"] >= 3; });
    entry.source.refused.clear();
    entry.pass_until([&] { return entry.context->knows_all_targets; });
    CHECK(entry.known() == pages);
    CHECK(entry.source.times_asked["0"] == 1);
    CHECK(entry.source.times_asked["2"] == 1);
}
