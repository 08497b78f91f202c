#include "support/complete_responses.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;
using namespace std::chrono_literals;
using end = scripted_target::response::connection_action;

namespace
{

constexpr mangofold::serving::duration grace = 8s;
constexpr int required_replies = 2;

/// An entry on which short streams of the route "events" were served, and
/// whose fleet was told to stop at \a since ago.
struct stopping_fixture : serving_fixture
{
    explicit stopping_fixture(mangofold::serving::duration since)
    {
        auto& times = context->times_by_route["events"];
        for (int sample = 0; sample < 20; ++sample)
        {
            times.time_to_first_event.add(100ms);
            times.answer_time.add(500ms);
        }
        context->drain.emplace(time.now() - since, grace, required_replies);
    }
};

scripted_target::response one_event_stream(const std::string& request,
                                           std::size_t)
{
    return {response_text(request_id_of(request), "id: 1\ndata: e\n\n"),
            end::keep};
}

} // namespace

// Guards against a stream that is cut by the exit of the entry that took it
// while stopping: the streams before were short, and this one need not be.
TEST_CASE("a stopping entry takes no stream that may outlast the process")
{
    stopping_fixture entry(3400ms);
    auto& target = entry.add_target("events", one_event_stream);
    const std::string got =
        entry.send_and_receive(request_text("/events/", "r1"));
    CHECK(contains(got, " 503 "));
    CHECK(contains(got, "Retry-After"));
    CHECK(target.requests().empty());
}

// Guards against refusing callers whose own deadline ends before the process.
TEST_CASE("a stopping entry serves a caller whose deadline it outlasts")
{
    stopping_fixture entry(3400ms);
    entry.add_target("events", one_event_stream);
    const std::string got = entry.send_and_receive(
        request_text("/events/", "r1", "Budget: 3000\r\n"), "data: e");
    CHECK(contains(got, " 200 "));
    CHECK(contains(got, "data: e"));
}

// Guards against a request that was read and ends without an answer: it came
// behind a stream, and the connection was closed after the stream.
TEST_CASE("a stopping entry answers the request behind a stream")
{
    serving_fixture entry;
    entry.add_target(
        "events",
        [](const std::string& request, std::size_t)
        {
            scripted_target::response stream{
                "HTTP/1.1 200 OK\r\nId: " + request_id_of(request) +
                    "\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"
                    "id: 1\ndata: e\n\n",
                end::close};
            stream.action_delay = 100ms;
            return stream;
        });
    entry.add_target("plain", complete_response);
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/events/", "r1"));
    entry.run_until([&] { return contains(caller->received, "data: e"); });
    entry.context->drain.emplace(entry.time.now(), grace, required_replies);
    entry.send(*caller, request_text("/again/", "r2"));
    entry.settle();
    entry.time.advance(200ms);
    entry.run_until(
        [&]
        { return caller->is_ended || contains(caller->received, "whole"); });
    CHECK(contains(caller->received, "whole"));
}

// Guards against a request that was read and ends without an answer: it came
// behind one whose last byte came after the balancer had noticed the stop.
TEST_CASE("a stopping entry answers the request behind a slow one")
{
    serving_fixture entry;
    entry.add_target("plain", complete_response);
    const auto caller = entry.connect();
    entry.send(*caller,
               request_text("/again/", "r1", "Content-Length: 2\r\n") + "h");
    entry.settle();
    entry.context->drain.emplace(entry.time.now() - 2s, grace,
                                 required_replies);
    entry.server->close_idle_connections();
    entry.send(*caller, "i" + request_text("/again/", "r2"));
    const auto has_both = [&]
    {
        const std::size_t first = caller->received.find("whole");
        return first != std::string::npos &&
               caller->received.find("whole", first + 1) != std::string::npos;
    };
    entry.run_until([&] { return caller->is_ended || has_both(); });
    CHECK(has_both());
}
