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

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: e" +
           std::to_string(number) + "\n\n";
}

std::string chunk(const std::string& bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

std::string head(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id +
           "\r\nSeal: s\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

const std::string last = "0\r\n\r\n";

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
        ++found;
    return found;
}

} // namespace

TEST_CASE("events are passed on as they come, and the end with them")
{
    serving_fixture entry;
    entry.add_target("events",
                     [](const std::string&, std::size_t)
                     {
                         return scripted_target::response{
                             head("r1") + chunk(event(1)) + chunk(event(2)) +
                                 last,
                             end::keep};
                     });
    const std::string got = entry.ask(request("/events/", "r1"), last);
    CHECK(has(got, "Transfer-Encoding: chunked"));
    CHECK(has(got, "data: e1"));
    CHECK(has(got, "data: e2"));
}

TEST_CASE("the first event reaches the caller before the last is made")
{
    serving_fixture entry;
    entry.add_target("events",
                     [](const std::string&, std::size_t) {
                         return scripted_target::response{
                             head("r1") + chunk(event(1)), end::hang};
                     });
    const auto caller = entry.connect();
    entry.send(*caller, request("/events/", "r1"));
    entry.run_until([&] { return has(caller->received, "data: e1"); });
}

// A caller's stream ends early and looks whole.
// 1. The target crashes in the middle of its stream. 2. The stream may not go
// on elsewhere. 3. An orderly end would make the caller take it for whole.
TEST_CASE("a stream that breaks off does not look whole")
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
        entry.send(*caller, request("/once-events/", "r1"));
        entry.run_until([&] { return caller->is_ended; });
        CHECK(has(caller->received, "data: e1"));
        CHECK_FALSE(has(caller->received, last));
    }
}

// A caller's stream misses an event or shows one twice.
// 1. A target breaks off in the middle of event 3. 2. Another one goes on
// after event 2, which was the last whole one. 3. The half event must not
// reach the caller.
TEST_CASE("a stream that may be resumed goes on at another target")
{
    serving_fixture entry;
    std::vector<std::string> sent;
    const auto script = [&sent](const std::string& text, std::size_t)
    {
        sent.push_back(text);
        const std::string half = event(3).substr(0, 8);
        return sent.size() == 1
                   ? scripted_target::response{head("r1") +
                                                   chunk(event(1) + event(2)) +
                                                   chunk(half),
                                               end::reset}
                   : scripted_target::response{
                         head("r1") + chunk(event(3)) + last, end::keep};
    };
    entry.add_target("events", script);
    entry.add_target("events", script);
    const std::string got = entry.ask(request("/events/", "r1"), last);
    REQUIRE(sent.size() == 2);
    CHECK(has(sent[1], "After: 2\r\n"));
    CHECK(count(got, "HTTP/1.1 200") == 1);
    for (int one = 1; one <= 3; ++one)
        CHECK(count(got, "data: e" + std::to_string(one) + "\n") == 1);
    CHECK(has(got, last));
}

TEST_CASE("a target that goes on at the wrong event is left")
{
    serving_fixture entry;
    std::size_t sent = 0;
    const auto script = [&sent](const std::string&, std::size_t)
    {
        return ++sent == 1
                   ? scripted_target::response{head("r1") + chunk(event(1)),
                                               end::reset}
                   : scripted_target::response{
                         head("r1") + chunk(event(3)) + last, end::keep};
    };
    entry.add_target("events", script);
    entry.add_target("events", script);
    const auto caller = entry.connect();
    entry.send(*caller, request("/events/", "r1"));
    entry.run_until([&] { return caller->is_ended; });
    CHECK_FALSE(has(caller->received, "data: e3"));
    CHECK_FALSE(has(caller->received, last));
}

TEST_CASE("a stream ends at the target when its caller leaves")
{
    serving_fixture entry;
    auto& target =
        entry.add_target("events",
                         [](const std::string&, std::size_t) {
                             return scripted_target::response{
                                 head("r1") + chunk(event(1)), end::hang};
                         });
    const auto caller = entry.connect();
    entry.send(*caller, request("/events/", "r1"));
    entry.run_until([&] { return has(caller->received, "data: e1"); });
    caller->socket.close();
    entry.settle();
    entry.time.advance(300ms);
    entry.run_until([&] { return target.closed_by_peer() == 1; });
}

TEST_CASE("stages are made in order, their results handed on and let go of")
{
    serving_fixture entry;
    std::string where;
    auto& maker = entry.add_target(
        "pieces",
        [&where](const std::string& text, std::size_t)
        {
            if (has(text, "/let-go"))
                return scripted_target::response{answer("", ""), end::keep};
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
            return scripted_target::response{answer("", results), end::keep};
        });
    where = maker.address();
    entry.add_target("events",
                     [](const std::string&, std::size_t)
                     {
                         return scripted_target::response{
                             head("r1") + chunk(event(1)) + last, end::keep};
                     });
    const std::string got =
        entry.ask(request("/staged/", "r1", "Pieces: 21\r\n"), last);
    CHECK(has(got, "data: e1"));
    REQUIRE(maker.requests().size() >= 2);
    CHECK(has(maker.requests()[0], "r1.0.0\n"));
    CHECK(has(maker.requests()[0], "r1.0.1\n"));
    CHECK(has(maker.requests()[1],
              "r1.1.0<" + where + "/r1.0.0<" + where + "/r1.0.1\n"));
    entry.time.advance(50ms);
    entry.run_until(
        [&]
        {
            std::size_t let_go = 0;
            for (const auto& one : maker.requests())
                if (has(one, "/let-go"))
                    let_go += count(one, where + "/r1.");
            return let_go == 3;
        });
}

// A target with room for some hundred results makes calls that are half full.
// 1. A second stage is being made from results of the first. 2. Those have
// been fetched, and lie at their makers until the call ends. 3. The next
// call there has no room for more.
TEST_CASE("results are let go of as soon as they must have been fetched")
{
    serving_fixture entry;
    std::string where;
    std::size_t made = 0;
    auto& maker = entry.add_target(
        "pieces",
        [&made, &where](const std::string& text, std::size_t)
        {
            if (has(text, "/let-go"))
                return scripted_target::response{answer("", ""), end::keep};
            return ++made == 1
                       ? scripted_target::response{answer("", where + "/1\n"),
                                                   end::keep}
                       : scripted_target::response{"", end::hang};
        });
    where = maker.address();
    const auto caller = entry.connect();
    entry.send(*caller, request("/staged/", "r1", "Pieces: 11\r\n"));
    entry.run_until([&] { return made == 2; });
    entry.settle();
    CHECK(maker.requests().size() == 2);
    // The way and the link take 40 ms at most; the call would take 210.
    entry.time.advance(60ms);
    entry.settle();
    entry.time.advance(30ms);
    entry.settle();
    REQUIRE(maker.requests().size() == 3);
    CHECK(has(maker.requests()[2], "/let-go"));
}

// A long draft is late although its chain of stages was made in time.
// 1. Its large stage follows no other, and starts when the chain is as near
// to the end. 2. It looks like the first stage of a new request, and by now
// of one that will be late. 3. It waits behind all that can be in time.
TEST_CASE("a stage beside a chain is one of a request that has begun")
{
    serving_fixture entry;
    entry.add_target(
        "pieces",
        [](const std::string& text, std::size_t number)
        {
            const bool is_release = has(text, "/let-go");
            return scripted_target::response{
                answer("", is_release ? "" : "x/" + std::to_string(number)),
                end::keep};
        });
    const auto caller = entry.connect();
    entry.send(*caller, request("/beside/", "r1", "Pieces: 111\r\n"));
    entry.run_until([&] { return entry.jobs.size() == 3; });
    CHECK(entry.jobs[0].stage == 1);
    CHECK_FALSE(entry.jobs[0].is_started);
    CHECK(entry.jobs[1].is_started);
    CHECK(entry.jobs[2].is_started);
    CHECK(entry.jobs[1].stage + entry.jobs[2].stage == 2);
}

// A caller waits to its deadline and gets a stream that is cut there.
// 1. Streams of the route take two seconds. 2. The stages of a request wait
// until a second is left. 3. Its stream begins, which cannot end in time, and
// took the place of another one's.
TEST_CASE("stages end early enough for the whole stream")
{
    serving_fixture entry;
    auto& times = entry.context->times_by_route["staged"];
    for (int one = 0; one < 300; ++one)
        times.time_per_token.add(2s);
    const auto caller = entry.connect();
    entry.send(*caller, request("/staged/", "r1", "Pieces: 11\r\n"));
    entry.run_until([&] { return entry.jobs.size() == 1; });
    const auto left = entry.jobs[0].expires - entry.time.now();
    CHECK(left < 3s);
    CHECK(left > 2s);
}

// Guards against a process that ends while requests wait for their stages:
// their callers saw the connection close, without an answer or a refusal.
TEST_CASE("what still waits as a process ends is told to go elsewhere")
{
    serving_fixture entry;
    entry.context->drain.emplace(entry.time.now(), 8s, 2);
    const auto caller = entry.connect();
    entry.send(*caller, request("/staged/", "r1", "Pieces: 11\r\n"));
    entry.run_until([&] { return entry.jobs.size() == 1; });
    entry.server->end_unsent();
    entry.run_until([&] { return has(caller->received, "\"}"); });
    CHECK(has(caller->received, " 503 "));
    CHECK(has(caller->received, "Retry-After"));
    CHECK(has(caller->received, "stopping"));
}

// A caller is told that its stages failed, three tenths of a second after it
// asked, although it has seconds left.
// 1. Several entries send calls to the same targets, as after a common start.
// 2. A full target refuses a call three times within that time. 3. Nothing ran
// and nothing was lost, but each refusal counted as a lost call.
TEST_CASE("calls that full targets refuse end no request")
{
    serving_fixture entry;
    std::size_t refused = 0;
    entry.add_target(
        "pieces",
        [&refused](const std::string& text, std::size_t)
        {
            if (has(text, "/let-go"))
                return scripted_target::response{answer("", ""), end::keep};
            constexpr std::size_t full_for = 8;
            if (refused < full_for)
            {
                ++refused;
                return scripted_target::response{
                    answer("", "", "503 Full", "Not-Run: 1\r\n"), end::keep};
            }
            return scripted_target::response{answer("", "x/1\n"), end::keep};
        });
    entry.add_target("events",
                     [](const std::string&, std::size_t)
                     {
                         return scripted_target::response{
                             head("r1") + chunk(event(1)) + last, end::keep};
                     });
    const auto caller = entry.connect();
    entry.send(*caller, request("/staged/", "r1", "Pieces: 11\r\n"));
    for (int step = 0; step < 30; ++step)
    {
        entry.settle();
        entry.time.advance(50ms);
    }
    entry.run_until([&] { return has(caller->received, last); });
    CHECK(refused == 8);
    CHECK(has(caller->received, "HTTP/1.1 200"));
}

// A caller's request fails although its stages could be made again.
// 1. The maker of a first result dies. 2. The second stage finds its input
// gone.
TEST_CASE("a result that is gone is made again from the start")
{
    serving_fixture entry;
    std::size_t made = 0;
    entry.add_target(
        "pieces",
        [&made](const std::string& text, std::size_t)
        {
            if (has(text, "/let-go"))
                return scripted_target::response{answer("", ""), end::keep};
            const bool is_gone = ++made == 2;
            return scripted_target::response{
                answer("",
                       is_gone ? "gone\n" : "x/" + std::to_string(made) + "\n"),
                end::keep};
        });
    entry.add_target("events",
                     [](const std::string&, std::size_t)
                     {
                         return scripted_target::response{
                             head("r1") + chunk(event(1)) + last, end::keep};
                     });
    CHECK(has(entry.ask(request("/staged/", "r1", "Pieces: 11\r\n"), last),
              "data: e1"));
    CHECK(made == 4);
}

// A process that was told to stop spins until it is killed.
// 1. It ends while stages of a request are being made. 2. What waits is torn
// down after the parts that it would hand its results back to. 3. It walks
// through freed memory.
TEST_CASE("a process may end while stages are being made")
{
    serving_fixture entry;
    auto& maker =
        entry.add_target("pieces",
                         [](const std::string&, std::size_t) {
                             return scripted_target::response{"", end::hang};
                         });
    const auto caller = entry.connect();
    entry.send(*caller, request("/staged/", "r1", "Pieces: 11\r\n"));
    entry.run_until([&] { return maker.requests().size() == 1; });
}
