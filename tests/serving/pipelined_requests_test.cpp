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
    catalog::caller_limits limits() const override { return limits_in_force; }
    bool is_stopping() const override { return stops; }
    duration loop_lag() const override { return {}; }

    void send(const std::string& path) { send_bytes(get(path)); }

    void send_bytes(const std::string& bytes)
    {
        asio::write(caller, asio::buffer(bytes));
        settle();
    }

    static std::string get(const std::string& path,
                           const std::string& headers = {})
    {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
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
    catalog::caller_limits limits_in_force;
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

// Guards against the same: what the entry has read, it has to answer.
TEST_CASE("of what came with one write only the first request is read")
{
    const std::string post = "POST /p HTTP/1.1\r\nHost: h\r\n";
    const std::string next = pipelining_fixture::get("/next");
    std::string many;
    for (int request = 0; request < 20; ++request)
        many += next;
    for (const std::string& bytes :
         {next + next, next + next + next, many,
          next + next.substr(0, next.size() / 2),
          post + "Content-Length: 5\r\n\r\nhello" + next,
          post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" +
              next})
    {
        pipelining_fixture entry;
        entry.send_bytes(bytes);
        CHECK(entry.requests.size() == 1);
        // The end of a process resets a connection with unread data.
        CHECK(entry.end().second == asio::error::connection_reset);
    }
}

TEST_CASE("requests that came with one write are answered in order")
{
    pipelining_fixture entry;
    std::string bytes;
    std::vector<std::string> paths;
    for (int request = 0; request < 20; ++request)
    {
        paths.push_back("/" + std::to_string(request));
        bytes += pipelining_fixture::get(paths.back());
    }
    entry.send_bytes(bytes);
    entry.stops = true;
    entry.answers = 20;
    entry.settle();
    CHECK(entry.requests == paths);
    const auto [read, fault] = entry.end();
    CHECK(read.find("body of /19") != std::string::npos);
    CHECK(fault == asio::error::eof);
}

// Guards against a reset in place of an answer: requests behind it were left
// unread when the connection was closed.
TEST_CASE("the last answer arrives although requests stay unread behind it")
{
    pipelining_fixture entry;
    entry.send_bytes(pipelining_fixture::get("/a", "Connection: close\r\n") +
                     pipelining_fixture::get("/b"));
    entry.answers = 1;
    entry.settle();
    std::string read;
    error_code fault;
    asio::read(entry.caller, asio::dynamic_buffer(read), fault);
    CHECK(read.find("body of /a") != std::string::npos);
    CHECK(fault == asio::error::eof);
    entry.caller.close();
    entry.settle();
    CHECK(entry.requests.size() == 1);
    CHECK(entry.session.use_count() == 1);
}

// Guards against a connection that is kept forever for its unread bytes.
TEST_CASE("a caller who keeps the connection is waited for three seconds")
{
    pipelining_fixture entry;
    entry.send_bytes(pipelining_fixture::get("/a", "Connection: close\r\n") +
                     pipelining_fixture::get("/b"));
    entry.answers = 1;
    entry.settle();
    CHECK(entry.session.use_count() > 1);
    for (int step = 0; step < 10; ++step)
        entry.settle();
    CHECK(entry.session.use_count() == 1);
}

// Guards against a request that is left without an answer since the idle limit
// passed while only a part of it had arrived behind another one.
TEST_CASE("a request that has arrived in part behind another one is answered")
{
    pipelining_fixture entry;
    const std::string next = pipelining_fixture::get("/second");
    entry.send_bytes(pipelining_fixture::get("/first") + next.substr(0, 9));
    entry.stops = true;
    entry.answers = 1;
    entry.settle();
    entry.session->close_if_idle();
    entry.answers = 1;
    entry.send_bytes(next.substr(9));
    const auto [read, fault] = entry.end();
    CHECK(read.find("body of /second") != std::string::npos);
    CHECK(fault == asio::error::eof);
}

// Guards against half-closed callers who miss the answers to what they sent.
TEST_CASE("requests before the end of the caller's data are answered")
{
    pipelining_fixture entry;
    const std::string next = pipelining_fixture::get("/x");
    entry.answers = 3;
    asio::write(entry.caller, asio::buffer(next + next + next));
    entry.caller.shutdown(tcp::socket::shutdown_send);
    entry.settle();
    CHECK(entry.requests.size() == 3);
    CHECK(entry.end().second == asio::error::eof);
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

namespace
{

constexpr std::size_t small_limit = 100;
constexpr std::size_t large_limit = 1000;

/// Returns the status of the answer to a request with a header line of 200
/// bytes or a body of 200 bytes. \a sent_before bytes of it are sent before the
/// limits change, on a connection that has been used before.
std::string status_after_change(bool has_long_header, std::size_t sent_before,
                                std::size_t limit_before, std::size_t limit)
{
    pipelining_fixture entry;
    const auto set_limit = [&](std::size_t bytes)
    {
        (has_long_header ? entry.limits_in_force.header_bytes
                         : entry.limits_in_force.body_bytes) = bytes;
    };
    set_limit(limit_before);
    entry.answers = 2;
    entry.send("/before");
    const std::string long_value(200, 'a');
    const std::string request =
        has_long_header
            ? pipelining_fixture::get("/x", "L: " + long_value + "\r\n")
            : "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n" +
                  long_value;
    if (sent_before > 0)
        entry.send_bytes(request.substr(0, sent_before));
    set_limit(limit);
    entry.send_bytes(request.substr(sent_before));
    const std::string read = entry.end().first;
    return read.substr(read.rfind("HTTP/1.1 ") + 9, 3);
}

} // namespace

// Guards against proper requests that are refused for good by the limits of an
// earlier configuration, which their connection was opened or idle under.
TEST_CASE("the limits in force at its first byte apply to a request")
{
    for (const bool has_long_header : {true, false})
    {
        const std::string refused = has_long_header ? "431" : "413";
        CAPTURE(has_long_header);
        CHECK(status_after_change(has_long_header, 0, small_limit,
                                  large_limit) == "200");
        CHECK(status_after_change(has_long_header, 0, large_limit,
                                  small_limit) == refused);
        CHECK(status_after_change(has_long_header, 10, small_limit,
                                  large_limit) == refused);
        CHECK(status_after_change(has_long_header, 10, large_limit,
                                  small_limit) == "200");
    }
    constexpr std::size_t in_body = 100;
    CHECK(status_after_change(false, in_body, large_limit, small_limit) ==
          "200");
}
