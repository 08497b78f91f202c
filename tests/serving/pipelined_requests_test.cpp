#include "runtime/paused_clock.hpp"
#include "serving/caller_session.hpp"

#include <boost/asio/read.hpp>
#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

/// A session whose requests are in progress until the test ends them.
struct pipelining_fixture : request_handler
{
    pipelining_fixture()
    {
        loop_clock::set_source(time, true);
        tcp::acceptor acceptor(*loop, {asio::ip::address_v4::loopback(), 0});
        caller.connect(acceptor.local_endpoint());
        session =
            std::make_shared<caller_session>(*loop, acceptor.accept(), *this);
        spawn(*loop, session->run());
    }

    awaitable<void> handle(std::shared_ptr<caller_session> of,
                           http_request request, request_body_ptr) override
    {
        requests.emplace_back(view(request.target()));
        of->set_on_disconnect([this] { has_left = true; });
        while (answers == 0 && !has_left)
        {
            loop_timer timer(*loop, 10ms);
            error_code ignored; // The timer is never cancelled.
            co_await timer.async_wait(store_error_in(ignored));
        }
        --answers;
        co_await of->send_response(200, {}, "body of " + requests.back());
    }

    body_terms judge_head(std::shared_ptr<caller_session>,
                          const http_request&) override
    {
        return {};
    }
    awaitable<void> refuse_unread(std::shared_ptr<caller_session>,
                                  http_request) override
    {
        co_return;
    }
    const body_memory& bodies() const override { return memory; }
    catalog::caller_limits limits() const override { return {}; }
    bool is_stopping() const override { return stops; }
    duration loop_lag() const override { return {}; }

    void send(const std::string& path)
    {
        asio::write(caller, asio::buffer("GET " + path +
                                         " HTTP/1.1\r\nHost: h\r\n\r\n"));
        settle();
    }

    void settle()
    {
        for (int step = 0; step < 40; ++step)
        {
            time.advance(10ms);
            loop->run_for(1ms);
        }
    }

    /// Ends the entry. Returns what the caller reads, and how that ends.
    std::pair<std::string, error_code> end()
    {
        session.reset();
        loop.reset();
        std::string read;
        error_code fault;
        asio::read(caller, asio::dynamic_buffer(read), fault);
        return {read, fault};
    }

    runtime::paused_clock time;
    body_memory memory;
    std::unique_ptr<asio::io_context> loop =
        std::make_unique<asio::io_context>(1);
    asio::io_context caller_loop{1};
    tcp::socket caller{caller_loop};
    std::shared_ptr<caller_session> session;
    std::vector<std::string> requests;
    int answers = 0;
    bool has_left = false;
    bool stops = false;
};

} // namespace

// Guards against a request that was read and ends without an answer: it came
// behind one that the end of the process cut off.
TEST_CASE("a request behind one in progress is not read")
{
    pipelining_fixture entry;
    entry.send("/first");
    entry.send("/second");
    CHECK(entry.requests == std::vector<std::string>{"/first"});
    // The end of a process resets a connection with unread data.
    CHECK(entry.end().second == asio::error::connection_reset);
}

// Guards against the same where both requests came in one segment, and so were
// read together.
TEST_CASE("the end of a process resets a connection with a request left")
{
    pipelining_fixture entry;
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    asio::write(entry.caller, asio::buffer(request + request));
    entry.settle();
    entry.session->note_exit();
    CHECK(entry.end().second == asio::error::connection_reset);
}

// Guards against a stopping entry that leaves requests unread which it could
// still answer.
TEST_CASE("a request behind one in progress is handled after it")
{
    pipelining_fixture entry;
    entry.send("/first");
    entry.send("/second");
    entry.stops = true;
    entry.answers = 2;
    entry.settle();
    const auto [read, fault] = entry.end();
    CHECK(entry.requests == std::vector<std::string>{"/first", "/second"});
    CHECK(read.find("body of /first") != std::string::npos);
    CHECK(read.find("body of /second") != std::string::npos);
    CHECK(fault == asio::error::eof);
}

// Guards against work for a caller whose close stands behind unread data.
TEST_CASE("a caller who closes behind an unread request is noticed")
{
    pipelining_fixture entry;
    entry.send("/first");
    entry.send("/second");
    entry.caller.close();
    entry.settle();
    CHECK(entry.has_left);
}
