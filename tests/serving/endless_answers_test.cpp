#include "support/endless_targets.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;

namespace
{

const std::string ok_head = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n";
const std::string chunked_head = ok_head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string many(2000, 'a');
const std::string zeros(2000, '0');

/// When an answer counts as given by the deadline of a second.
constexpr serving::duration deadline = 1020ms;
/// When an answer counts as given at once.
constexpr serving::duration at_once = 300ms;

bool is_typed(const std::string& answer)
{
    return contains(answer, " 502 ") || contains(answer, " 503 ") ||
           contains(answer, " 504 ");
}

} // namespace

// Guards against a request held past its deadline by a target that sends its
// head in small parts without end.
TEST_CASE("a head that arrives in parts without end ends at the deadline")
{
    for (const auto& repeated : {std::string("a"), std::string("a\r\nX: ")})
    {
        endless_targets entry;
        auto& target =
            entry.add_endless("plain", ok_head + "X: ", repeated, 50ms);
        const std::string answer = entry.ask("/once/");
        CHECK(contains(answer, " 504 "));
        CHECK(entry.waited <= deadline);
        CHECK(entry.sees_close(target));
    }
}

// Guards against a head that fills memory.
TEST_CASE("a head without end is refused at once")
{
    for (const auto& repeated : {many, "X: " + many + "\r\n"})
    {
        endless_targets entry;
        auto& target = entry.add_endless("plain", ok_head + "X: ", repeated);
        const std::string answer = entry.ask("/once/");
        CHECK(is_typed(answer));
        CHECK(entry.waited <= at_once);
        CHECK(target.closed_by_peer() == 1);
    }
}

// Guards against a request held past its deadline by interim answers.
TEST_CASE("interim answers now and then end at the deadline")
{
    endless_targets entry;
    auto& target =
        entry.add_endless("plain", "", "HTTP/1.1 102 Processing\r\n\r\n", 50ms);
    const std::string answer = entry.ask("/once/");
    CHECK(contains(answer, " 504 "));
    CHECK(entry.waited <= deadline);
    CHECK(entry.sees_close(target));
}

// Guards against interim answers, or answers to other requests, that are read
// without end.
TEST_CASE("answers to no request without end are refused at once")
{
    for (const auto& repeated : {std::string("HTTP/1.1 100 Continue\r\n\r\n"),
                                 response_text("other", "x")})
    {
        endless_targets entry;
        auto& target = entry.add_endless("plain", "", repeated);
        const std::string answer = entry.ask("/once/");
        CHECK(is_typed(answer));
        CHECK(entry.waited <= at_once);
        CHECK(target.closed_by_peer() == 1);
    }
}

// Guards against a line between chunks, or a trailer, that is stored without
// end.
TEST_CASE("a chunk size line or a trailer without end is refused at once")
{
    for (const auto& route :
         {std::string("/once/"), std::string("/once-events/")})
        for (const std::string& line :
             {std::string("1;"), std::string("0\r\nX: "), std::string("00000")})
        {
            CAPTURE(route);
            CAPTURE(line);
            endless_targets entry;
            const std::string service = route == "/once/" ? "plain" : "events";
            auto& target = entry.add_endless(service, chunked_head + line,
                                             line[1] == '0' ? zeros : many);
            const std::string answer = entry.ask(route);
            CHECK(is_typed(answer));
            CHECK(entry.waited <= at_once);
            CHECK(target.closed_by_peer() == 1);
        }
}

// Guards against a request held past its deadline by a body whose next bytes
// are always there.
TEST_CASE("a body without end ends at the deadline")
{
    for (const auto& route :
         {std::string("/once/"), std::string("/once-events/")})
        for (const auto& repeated :
             {std::string("1\r\nx\r\n"), std::string("1\r\n\n\r\n")})
        {
            CAPTURE(route);
            CAPTURE(repeated);
            endless_targets entry;
            const std::string service = route == "/once/" ? "plain" : "events";
            auto& target = entry.add_endless(service, chunked_head, repeated);
            const std::string answer = entry.ask(route, "\r\n0\r\n\r\n");
            CHECK_FALSE(contains(answer, "\r\n0\r\n\r\n"));
            CHECK(entry.waited <= deadline);
            CHECK(target.closed_by_peer() == 1);
        }
}

// Guards against a caller who waits for an event that never ends, while memory
// and time to search it grow.
TEST_CASE("an event without end is refused at once")
{
    for (const std::string start : {"id: 1\ndata: ", ": "})
        for (const auto& repeated : {many, many + "\n"})
        {
            endless_targets entry;
            auto& target =
                entry.add_endless("events", ok_head + "\r\n" + start, repeated);
            const std::string answer = entry.ask("/once-events/");
            CHECK(is_typed(answer));
            CHECK(entry.waited <= 500ms);
            // The answer's, and the one to ask whether its target lives.
            CHECK(target.connections() == 2);
            CHECK(target.closed_by_peer() == 2);
        }
}

// Guards against a repeatable request that is lost to a target that sends no
// answer, and against that target's being asked again and again.
TEST_CASE("a request goes to another target, and the endless one is avoided")
{
    for (const auto& repeated : {std::string("HTTP/1.1 100 Continue\r\n\r\n"),
                                 "X: " + many + "\r\n", std::string()})
    {
        CAPTURE(repeated);
        endless_targets entry;
        auto& target = entry.add_endless(
            "plain", repeated.empty() ? chunked_head + "1;" : "",
            repeated.empty() ? many : repeated);
        entry.add_target("plain",
                         [](const std::string& request, std::size_t)
                         {
                             return scripted_target::response{response_text(
                                 request_id_of(request), "sound")};
                         });
        for (int asked = 0; asked < 20; ++asked)
            CHECK(contains(entry.ask("/again/", "sound"), "sound"));
        CHECK(target.requests().size() <= 4);
        CHECK(target.closed_by_peer() == target.requests().size());
    }
}

// Guards against a call of pieces, or a release of results, that never ends.
TEST_CASE("answers to stage calls and releases end in a bounded time")
{
    endless_targets entry;
    auto& target = entry.add_endless(
        "pieces", "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n", "x", 50ms);
    decision::stage_job job;
    job.request = "r1";
    job.pieces = 1;
    job.due = job.expires = entry.time.now() + 60s;
    entry.batcher->add(
        "pieces", job, [](serving::job_outcome) { return true; },
        [] { return true; }, [] {});
    entry.pass_until([&] { return target.closed_by_peer() == 1; }, 5s);
    CHECK(target.closed_by_peer() == 1);
    entry.batcher->release("pieces", {target.address() + "/1"});
    entry.pass_until([&] { return target.requests().size() == 2; }, 5s);
    const std::size_t closed = target.closed_by_peer();
    entry.pass_until([&] { return target.closed_by_peer() > closed; }, 2s);
    CHECK(target.closed_by_peer() > closed);
}
