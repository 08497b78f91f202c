#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;
using namespace std::chrono_literals;
using end = scripted_target::response::connection_action;

namespace
{

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// Returns the bytes of the event with the id \a id.
std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
           "\n\n";
}

/// Returns \a bytes as a chunk of the chunked transfer encoding.
std::string chunk(const std::string& bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

/// Returns the head of a streamed response to the request \a id.
std::string head(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id +
           "\r\nSeal: s\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

/// The chunk that ends a chunked message.
const std::string last_chunk = "0\r\n\r\n";

/// Returns how often \a part occurs in \a text.
std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t result = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
        ++result;
    return result;
}

} // namespace

TEST_CASE("events and the end of a stream are passed on")
{
    serving_fixture entry;
    entry.add_target("events",
                     [](const std::string&, std::size_t)
                     {
                         return scripted_target::response{
                             head("r1") + chunk(event(1)) + chunk(event(2)) +
                                 last_chunk,
                             end::keep};
                     });
    const std::string got =
        entry.send_and_receive(request_text("/events/", "r1"), last_chunk);
    CHECK(has(got, "Transfer-Encoding: chunked"));
    CHECK(has(got, "data: e1"));
    CHECK(has(got, "data: e2"));
}

TEST_CASE("the first event reaches the caller before the stream has ended")
{
    serving_fixture entry;
    entry.add_target("events",
                     [](const std::string&, std::size_t) {
                         return scripted_target::response{
                             head("r1") + chunk(event(1)), end::hang};
                     });
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/events/", "r1"));
    entry.run_until([&] { return has(caller->received, "data: e1"); });
}

// Guards against a truncated stream that looks complete: the target crashes in
// the middle of a stream that must not be resumed at another target, and a
// final chunk would make the caller take the stream for complete.
TEST_CASE("a stream that breaks off does not look complete")
{
    for (const end then : {end::close, end::reset})
    {
        serving_fixture entry;
        entry.add_target("events",
                         [then](const std::string&, std::size_t) {
                             return scripted_target::response{
                                 head("r1") + chunk(event(1)), then};
                         });
        const auto caller = entry.connect();
        entry.send(*caller, request_text("/once-events/", "r1"));
        entry.run_until([&] { return caller->is_ended; });
        CHECK(has(caller->received, "data: e1"));
        CHECK_FALSE(has(caller->received, last_chunk));
    }
}

// Guards against a caller's stream that misses an event or repeats one: a
// target breaks off in the middle of event 3, and another target resumes after
// event 2, the last complete one. The partial event must not reach the caller.
TEST_CASE("a resumable stream is resumed at another target")
{
    serving_fixture entry;
    std::vector<std::string> sent;
    const auto script = [&sent](const std::string& text, std::size_t)
    {
        sent.push_back(text);
        const std::string partial = event(3).substr(0, 8);
        return sent.size() == 1
                   ? scripted_target::response{head("r1") +
                                                   chunk(event(1) + event(2)) +
                                                   chunk(partial),
                                               end::reset}
                   : scripted_target::response{
                         head("r1") + chunk(event(3)) + last_chunk, end::keep};
    };
    entry.add_target("events", script);
    entry.add_target("events", script);
    const std::string got =
        entry.send_and_receive(request_text("/events/", "r1"), last_chunk);
    REQUIRE(sent.size() == 2);
    CHECK(has(sent[1], "After: 2\r\n"));
    CHECK(count(got, "HTTP/1.1 200") == 1);
    for (int id = 1; id <= 3; ++id)
        CHECK(count(got, "data: e" + std::to_string(id) + "\n") == 1);
    CHECK(has(got, last_chunk));
}

TEST_CASE("a target that resumes at the wrong event is dropped")
{
    serving_fixture entry;
    std::size_t sent = 0;
    const auto script = [&sent](const std::string&, std::size_t)
    {
        return ++sent == 1
                   ? scripted_target::response{head("r1") + chunk(event(1)),
                                               end::reset}
                   : scripted_target::response{
                         head("r1") + chunk(event(3)) + last_chunk, end::keep};
    };
    entry.add_target("events", script);
    entry.add_target("events", script);
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/events/", "r1"));
    entry.run_until([&] { return caller->is_ended; });
    CHECK_FALSE(has(caller->received, "data: e3"));
    CHECK_FALSE(has(caller->received, last_chunk));
}

TEST_CASE("a stream ends at the target when its caller disconnects")
{
    serving_fixture entry;
    auto& target =
        entry.add_target("events",
                         [](const std::string&, std::size_t) {
                             return scripted_target::response{
                                 head("r1") + chunk(event(1)), end::hang};
                         });
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/events/", "r1"));
    entry.run_until([&] { return has(caller->received, "data: e1"); });
    caller->socket.close();
    entry.settle();
    entry.time.advance(300ms);
    entry.run_until([&] { return target.closed_by_peer() == 1; });
}

TEST_CASE(
    "stages run in order, and their results are passed on and then released")
{
    serving_fixture entry;
    std::string where;
    auto& producer = entry.add_target(
        "pieces",
        [&where](const std::string& text, std::size_t)
        {
            if (has(text, "/let-go"))
                return scripted_target::response{response_text("", ""),
                                                 end::keep};
            std::string results;
            const std::string body = text.substr(text.find("\r\n\r\n") + 4);
            for (std::size_t at = 0; at < body.size();)
            {
                const std::size_t line = body.find('\n', at);
                const std::string piece =
                    body.substr(at, std::min(body.find('<', at), line) - at);
                results += where + "/" + piece + "\n";
                at = line + 1;
            }
            return scripted_target::response{response_text("", results),
                                             end::keep};
        });
    where = producer.address();
    entry.add_target("events",
                     [](const std::string&, std::size_t)
                     {
                         return scripted_target::response{
                             head("r1") + chunk(event(1)) + last_chunk,
                             end::keep};
                     });
    const std::string got = entry.send_and_receive(
        request_text("/staged/", "r1", "Pieces: 21\r\n"), last_chunk);
    CHECK(has(got, "data: e1"));
    REQUIRE(producer.requests().size() >= 2);
    CHECK(has(producer.requests()[0], "r1.0.0\n"));
    CHECK(has(producer.requests()[0], "r1.0.1\n"));
    CHECK(has(producer.requests()[1],
              "r1.1.0<" + where + "/r1.0.0<" + where + "/r1.0.1\n"));
    entry.time.advance(50ms);
    entry.run_until(
        [&]
        {
            std::size_t released = 0;
            for (const auto& received : producer.requests())
                if (has(received, "/let-go"))
                    released += count(received, where + "/r1.");
            return released == 3;
        });
}

// Guards against half-full calls at a target with memory for some hundred
// results: while the second stage runs, the results of the first, although
// already fetched, would stay at the targets that made them until the call
// ends, and the next call there would find no memory for more.
TEST_CASE("results are released as soon as they must have been fetched")
{
    serving_fixture entry;
    std::string where;
    std::size_t call_count = 0;
    auto& producer = entry.add_target(
        "pieces",
        [&call_count, &where](const std::string& text, std::size_t)
        {
            if (has(text, "/let-go"))
                return scripted_target::response{response_text("", ""),
                                                 end::keep};
            return ++call_count == 1
                       ? scripted_target::response{response_text(
                                                       "", where + "/1\n"),
                                                   end::keep}
                       : scripted_target::response{"", end::hang};
        });
    where = producer.address();
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/staged/", "r1", "Pieces: 11\r\n"));
    entry.run_until([&] { return call_count == 2; });
    entry.settle();
    CHECK(producer.requests().size() == 2);
    // Network latency and transfer take 40 ms at most; the call would take 210
    // ms.
    entry.time.advance(60ms);
    entry.settle();
    entry.time.advance(30ms);
    entry.settle();
    REQUIRE(producer.requests().size() == 3);
    CHECK(has(producer.requests()[2], "/let-go"));
}

// Guards against a request that is late although its chain of stages finished
// in time: a large stage without predecessors starts only when the chain is as
// close to the end. Taken for the first stage of a new request, by then one
// that will be late, the stage would be queued behind all requests that can be
// in time.
TEST_CASE("a stage parallel to a chain belongs to a started request")
{
    serving_fixture entry;
    entry.add_target(
        "pieces",
        [](const std::string& text, std::size_t number)
        {
            const bool is_release = has(text, "/let-go");
            return scripted_target::response{
                response_text("",
                              is_release ? "" : "x/" + std::to_string(number)),
                end::keep};
        });
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/beside/", "r1", "Pieces: 111\r\n"));
    entry.run_until([&] { return entry.jobs.size() == 3; });
    CHECK(entry.jobs[0].stage == 1);
    CHECK_FALSE(entry.jobs[0].is_started);
    CHECK(entry.jobs[1].is_started);
    CHECK(entry.jobs[2].is_started);
    CHECK(entry.jobs[1].stage + entry.jobs[2].stage == 2);
}

// Guards against a stream that is cut off at the caller's deadline: streams of
// the route take two seconds, but the stages of a request stay queued until one
// second is left. The stream then starts although it cannot end in time, and
// takes the capacity of another one.
TEST_CASE("stages expire early enough for the whole stream")
{
    serving_fixture entry;
    auto& times = entry.context->times_by_route["staged"];
    for (int sample = 0; sample < 300; ++sample)
        times.time_per_token.add(2s);
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/staged/", "r1", "Pieces: 11\r\n"));
    entry.run_until([&] { return entry.jobs.size() == 1; });
    const auto left = entry.jobs[0].expires - entry.time.now();
    CHECK(left < 3s);
    CHECK(left > 2s);
}

// Guards against a process that ends while requests wait for their stages: the
// callers saw the connection close without any response.
TEST_CASE("requests that wait when the process ends get 503 and Retry-After")
{
    serving_fixture entry;
    entry.context->drain.emplace(entry.time.now(), 8s, 2);
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/staged/", "r1", "Pieces: 11\r\n"));
    entry.run_until([&] { return entry.jobs.size() == 1; });
    entry.server->reject_unsent();
    entry.run_until([&] { return has(caller->received, "\"}"); });
    CHECK(has(caller->received, " 503 "));
    CHECK(has(caller->received, "Retry-After"));
    CHECK(has(caller->received, "stopping"));
}

// Guards against a request whose stages fail 0.3 s after it was sent, although
// it has seconds left: several entries call the same targets, as after a common
// start, and a full target refuses a call three times within that time. Nothing
// ran and nothing was lost, but each refusal was counted as a lost call.
TEST_CASE("calls that full targets refuse do not fail a request")
{
    serving_fixture entry;
    std::size_t refused = 0;
    entry.add_target(
        "pieces",
        [&refused](const std::string& text, std::size_t)
        {
            if (has(text, "/let-go"))
                return scripted_target::response{response_text("", ""),
                                                 end::keep};
            constexpr std::size_t max_refused = 8;
            if (refused < max_refused)
            {
                ++refused;
                return scripted_target::response{
                    response_text("", "", "503 Full", "Not-Run: 1\r\n"),
                    end::keep};
            }
            return scripted_target::response{response_text("", "x/1\n"),
                                             end::keep};
        });
    entry.add_target("events",
                     [](const std::string&, std::size_t)
                     {
                         return scripted_target::response{
                             head("r1") + chunk(event(1)) + last_chunk,
                             end::keep};
                     });
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/staged/", "r1", "Pieces: 11\r\n"));
    for (int step = 0; step < 30; ++step)
    {
        entry.settle();
        entry.time.advance(50ms);
    }
    entry.run_until([&] { return has(caller->received, last_chunk); });
    CHECK(refused == 8);
    CHECK(has(caller->received, "HTTP/1.1 200"));
}

// Guards against a request that fails although its stages could run again: the
// target that holds the result of the first stage ends, and the second stage
// finds its input lost.
TEST_CASE("stages run again from the start when a result is lost")
{
    serving_fixture entry;
    std::size_t call_count = 0;
    entry.add_target(
        "pieces",
        [&call_count](const std::string& text, std::size_t)
        {
            if (has(text, "/let-go"))
                return scripted_target::response{response_text("", ""),
                                                 end::keep};
            const bool is_gone = ++call_count == 2;
            return scripted_target::response{
                response_text("", is_gone ? "gone\n"
                                          : "x/" + std::to_string(call_count) +
                                                "\n"),
                end::keep};
        });
    entry.add_target("events",
                     [](const std::string&, std::size_t)
                     {
                         return scripted_target::response{
                             head("r1") + chunk(event(1)) + last_chunk,
                             end::keep};
                     });
    CHECK(has(entry.send_and_receive(
                  request_text("/staged/", "r1", "Pieces: 11\r\n"), last_chunk),
              "data: e1"));
    CHECK(call_count == 4);
}

// Guards against a process that spins on shutdown until it is killed: it ends
// while stages of a request are running, and the waiting coroutines are
// destroyed after the objects that they would return their results to, so that
// they use freed memory.
TEST_CASE("a process may end while stages are running")
{
    serving_fixture entry;
    auto& producer =
        entry.add_target("pieces",
                         [](const std::string&, std::size_t) {
                             return scripted_target::response{"", end::hang};
                         });
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/staged/", "r1", "Pieces: 11\r\n"));
    entry.run_until([&] { return producer.requests().size() == 1; });
}
