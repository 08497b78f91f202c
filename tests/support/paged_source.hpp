#pragma once

#include "serving/request_server.hpp"
#include "serving/source_reader.hpp"
#include "support/accept_all.hpp"
#include "support/serving_fixture.hpp"
#include "support/stub_source.hpp"

#include <array>
#include <map>
#include <set>
#include <string>

namespace mangofold::test
{

using namespace serving;

inline constexpr int page_count = 3;

/// A source whose target list has one target on each page. The target's id
/// contains the page number.
class paged_dialect : public stub_source
{
public:
    http_request targets_request(const std::string& after) const override
    {
        return {http::verb::get, "/targets/" + (after.empty() ? "0" : after),
                11};
    }

    source_page parse_targets(std::string_view body) const override
    {
        if (body.empty() || body.front() < '0' || body.front() > '9')
            throw invalid_message("no page number");
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
        spawn(loop, accept_all(loop, acceptor,
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
            if (request.starts_with("GET /watch") && !is_changing)
                continue;
            const std::string reply = answer(request);
            co_await asio::async_write(socket, asio::buffer(reply),
                                       store_error_in(fault));
        }
    }

    std::string answer(const std::string& request)
    {
        constexpr std::string_view path = "GET /targets/";
        // The catalog's version.
        std::string body = request.starts_with("GET /watch") ? "8" : "7";
        if (request.starts_with(path))
        {
            body = request.substr(path.size(), 1);
            ++requests_by_page[body];
            if (rejected_pages.contains(body))
                return rejection;
        }
        return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body;
    }

    asio::io_context& loop;
    tcp::acceptor acceptor;
    std::map<std::string, int> requests_by_page;
    std::set<std::string> rejected_pages;
    std::string rejection = "HTTP/1.1 429 Slower\r\nContent-Length: 0\r\n\r\n";
    bool is_changing = false; ///< Whether watches bring catalog 8.
};

/// An entry that has just started and reads its targets from a paged_source.
struct entry_with_paged_source : serving_fixture
{
    entry_with_paged_source() : source(loop), reader(*context, dialect)
    {
        context->settings.source_address = {
            "127.0.0.1", source.acceptor.local_endpoint().port()};
        context->settings.max_configuration_delay = std::chrono::seconds(3);
        context->catalog = nullptr;
        context->has_some_targets = false;
        context->directory = {};
    }

    std::size_t known_targets() const
    {
        return context->directory.serving("plain").size();
    }

    /// Advances the time until \a done returns true, by \a time_limit at most,
    /// in steps of \a step.
    template<typename Done>
    void advance_until(Done done, duration time_limit = std::chrono::seconds(3),
                       duration step = std::chrono::milliseconds(50))
    {
        for (duration waited{}; waited < time_limit && !done(); waited += step)
        {
            time.advance(step);
            settle();
        }
    }

    paged_dialect dialect;
    paged_source source;
    source_reader reader;
};

} // namespace mangofold::test
