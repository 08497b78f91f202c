#include "support/good_answers.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;
using namespace std::chrono_literals;
using end = scripted_target::reaction::end;

namespace
{

scripted_target::script always(std::string bytes, end then)
{
    return [bytes = std::move(bytes), then](const std::string&, std::size_t) {
        return scripted_target::reaction{bytes, then};
    };
}

} // namespace

TEST_CASE("a request reaches a target and its answer the caller, unchanged")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", good);
    const std::string got = entry.send_and_receive(
        request_text("/once/x?y=1", "r1", "Other: o\r\n"), "whole");
    CHECK(has(got, "HTTP/1.1 200 OK\r\n"));
    CHECK(has(got, "Seal: s\r\n"));
    REQUIRE(target.requests().size() == 1);
    CHECK(has(target.requests()[0], "GET /once/x?y=1 HTTP/1.1\r\n"));
    CHECK(has(target.requests()[0], "Other: o\r\n"));
    CHECK(has(target.requests()[0], "To: t1\r\n"));
    CHECK(has(target.requests()[0], "Account: club\r\n"));
    CHECK_FALSE(has(target.requests()[0], "good-key"));
}

TEST_CASE("connections are kept on both sides")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", good);
    const auto caller = entry.connect();
    for (int one = 0; one < 3; ++one)
    {
        const std::string id = "r" + std::to_string(one);
        entry.send(*caller, request_text("/once/", id));
        entry.run_until([&] { return has(caller->received, "Id: " + id); });
        entry.settle();
    }
    CHECK(target.connections() == 1);
    CHECK_FALSE(caller->is_ended);
}

// A caller that wants its connection closed after the answer gets none.
TEST_CASE("a caller that asks for the last answer gets it, and the close")
{
    serving_fixture entry;
    entry.add_target("plain", good);
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/once/", "r1", "Connection: close\r\n"));
    entry.run_until([&] { return caller->is_ended; });
    CHECK(has(caller->received, "whole"));
}

TEST_CASE("what this process refuses")
{
    serving_fixture entry;
    entry.add_target("plain", good);
    CHECK(
        has(entry.send_and_receive(request_text("/nothing/", "r1")), " 404 "));
    CHECK(has(
        entry.send_and_receive("GET /once/ HTTP/1.1\r\nHost: h\r\nKey: bad\r\n"
                               "Id: r1\r\n\r\n"),
        " 401 "));
    CHECK(has(entry.send_and_receive(
                  "GET /once/ HTTP/1.1\r\nHost: h\r\nKey: good-key\r\n"
                  "\r\n"),
              " 400 "));
    CHECK(has(entry.send_and_receive("nonsense\r\n\r\n"), " 400 "));
    entry.context->catalog = nullptr;
    CHECK(has(entry.send_and_receive(request_text("/once/", "r1")), " 503 "));
}

// Callers of a process that has just started are refused, and wait for their
// one retry, although it can serve them a moment later.
// 1. All entries start at once, so callers come before any of them is ready.
// 2. The configuration is there some hundredths of a second later. 3. The
// request was refused in between.
TEST_CASE(
    "a request waits for the first configuration of a process that starts")
{
    serving_fixture entry;
    entry.add_target("plain", good);
    const auto known = std::exchange(entry.context->catalog, nullptr);
    entry.context->requests_wait_until = entry.time.now() + 500ms;
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/once/", "r1"));
    entry.settle();
    CHECK(caller->received.empty());
    entry.time.advance(100ms);
    entry.settle();
    entry.context->catalog = known;
    entry.time.advance(50ms);
    entry.run_until([&] { return has(caller->received, "whole"); });
    CHECK(has(caller->received, "200 OK"));
}

// The same where the list of targets comes in pages, and the first of them
// names none of the request's service.
TEST_CASE(
    "a request of a process that starts waits for a target of its service")
{
    serving_fixture entry;
    entry.context->knows_all_targets = false;
    entry.context->requests_wait_until = entry.time.now() + 500ms;
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/once/", "r1"));
    entry.settle();
    CHECK(caller->received.empty());
    entry.add_target("plain", good);
    entry.time.advance(50ms);
    entry.run_until([&] { return has(caller->received, "whole"); });
    CHECK(has(caller->received, "200 OK"));
}

// The same where the configuration can't be had: nobody is kept waiting, and
// once that is known nobody waits at all.
TEST_CASE(
    "a process that has known no configuration for a while refuses at once")
{
    serving_fixture entry;
    entry.context->catalog = nullptr;
    entry.context->requests_wait_until = entry.time.now() + 500ms;
    const auto early = entry.connect();
    entry.send(*early, request_text("/once/", "r1"));
    entry.settle();
    entry.time.advance(600ms);
    entry.run_until([&] { return has(early->received, "503"); });
    CHECK(has(early->received, "Retry-After"));
    CHECK(has(entry.send_and_receive(request_text("/once/", "r2")), "503"));
}

// A second request, of which no caller knows, reaches a target.
// 1. Two headers disagree about where a body ends. 2. One side takes the rest
// for a request of its own.
TEST_CASE("a request with two readings of its end is refused")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", good);
    const std::string hidden = "0\r\n\r\nGET /once/ HTTP/1.1\r\nHost: h\r\n"
                               "Key: good-key\r\nId: hidden\r\n\r\n";
    const std::string head =
        "POST /once/ HTTP/1.1\r\nHost: h\r\nKey: good-key\r\nId: r1\r\n";
    for (const std::string& fields :
         {std::string("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
          std::string("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"),
          std::string(
              "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"),
          std::string("Transfer-Encoding: gzip, chunked\r\n"),
          std::string("Content-Length: 5\r\nContent-Length: 6\r\n")})
    {
        CAPTURE(fields);
        CHECK(has(entry.send_and_receive(head + fields + "\r\n" + hidden),
                  " 400 "));
    }
    CHECK(target.requests().empty());
}

TEST_CASE("bodies in chunks reach the target with their length")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", good);
    entry.send_and_receive(
        "POST /once/ HTTP/1.1\r\nHost: h\r\nKey: good-key\r\nId: r1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
        "0\r\n\r\n",
        "whole");
    REQUIRE(target.requests().size() == 1);
    CHECK(has(target.requests()[0], "Content-Length: 5\r\n\r\nabcde"));
}

// A voucher is redeemed twice.
// 1. The target gets the request, and its connection is reset before an
// answer. 2. Whether it ran is not known. 3. It must go nowhere else, and the
// caller must not be told that it has not run.
TEST_CASE("what may not be repeated goes nowhere else after a reset")
{
    serving_fixture entry;
    auto& first = entry.add_target("plain", always("", end::reset));
    auto& second = entry.add_target("plain", always("", end::reset));
    const std::string got =
        entry.send_and_receive(request_text("/once/", "r1"));
    CHECK(has(got, " 502 "));
    CHECK_FALSE(has(got, "Retry-After"));
    CHECK(first.requests().size() + second.requests().size() == 1);
}

TEST_CASE("what may be repeated goes to another target after a reset")
{
    serving_fixture entry;
    std::size_t sent = 0;
    const auto once_reset = [&sent](const std::string& text, std::size_t number)
    {
        return ++sent == 1 ? scripted_target::reaction{"", end::reset}
                           : good(text, number);
    };
    entry.add_target("plain", once_reset);
    entry.add_target("plain", once_reset);
    CHECK(has(entry.send_and_receive(request_text("/again/", "r1"), "whole"),
              " 200 "));
    CHECK(sent == 2);
}

TEST_CASE("a refusal of the target's own lets another one run it")
{
    serving_fixture entry;
    std::size_t sent = 0;
    const auto full = [&sent](const std::string& text, std::size_t number)
    {
        return ++sent == 1
                   ? scripted_target::reaction{response_text("r1", "",
                                                             "503 Full",
                                                             "Not-Run: 1\r\n"),
                                               end::keep}
                   : good(text, number);
    };
    entry.add_target("plain", full);
    entry.add_target("plain", full);
    CHECK(has(entry.send_and_receive(request_text("/once/", "r1"), "whole"),
              " 200 "));
}

TEST_CASE("where all targets refuse, the caller is told when to come back")
{
    serving_fixture entry;
    const auto full = [](const std::string&, std::size_t)
    {
        return scripted_target::reaction{
            response_text("r1", "", "503 Full", "Not-Run: 1\r\n"), end::keep};
    };
    entry.add_target("plain", full);
    entry.add_target("plain", full);
    const std::string got =
        entry.send_and_receive(request_text("/once/", "r1"));
    CHECK(has(got, " 503 "));
    CHECK(has(got, "Retry-After: "));
}

// A caller gets the answer of somebody else.
// 1. A target answers a request twice. 2. The second answer arrives when the
// connection carries another request. 3. It is taken for that one's.
TEST_CASE("a second answer to an earlier request is passed over")
{
    serving_fixture entry;
    entry.add_target("plain",
                     [](const std::string& text, std::size_t number)
                     {
                         auto now = good(text, number);
                         if (number == 1)
                             now.bytes =
                                 response_text("r1", "stray") + now.bytes;
                         return now;
                     });
    CHECK(has(entry.send_and_receive(request_text("/once/", "r1"), "whole"),
              "whole"));
    const std::string got =
        entry.send_and_receive(request_text("/once/", "r2"), "whole");
    CHECK(has(got, "Id: r2"));
    CHECK_FALSE(has(got, "stray"));
}

TEST_CASE("a connection with bytes after its answer is not used again")
{
    serving_fixture entry;
    auto& target =
        entry.add_target("plain",
                         [](const std::string& text, std::size_t number)
                         {
                             auto now = good(text, number);
                             now.bytes += response_text("r1", "extra");
                             return now;
                         });
    CHECK_FALSE(
        has(entry.send_and_receive(request_text("/once/", "r1"), "whole"),
            "extra"));
    entry.send_and_receive(request_text("/once/", "r2"), "whole");
    CHECK(target.connections() == 2);
}

TEST_CASE("an answer cut short, spoiled or unsigned is no answer")
{
    const std::string cut = response_text("r1", "whole").substr(0, 57);
    const std::string no_length =
        "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\nhalf";
    for (const auto& [bytes, then] :
         {std::pair{cut, end::close}, std::pair{cut, end::reset},
          std::pair{no_length, end::reset},
          std::pair{std::string("\x01\x02 spoiled\r\n\r\n"), end::close},
          std::pair{response_text("r1", "x", "200 OK", ""), end::keep}})
    {
        serving_fixture entry;
        entry.add_target("plain", always(bytes, then));
        CAPTURE(bytes);
        CHECK(
            has(entry.send_and_receive(request_text("/once/", "r1")), " 502 "));
    }
}

TEST_CASE("an answer without a length ends with an orderly close")
{
    serving_fixture entry;
    entry.add_target("plain",
                     always("HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\nwhole",
                            end::close));
    const std::string got =
        entry.send_and_receive(request_text("/once/", "r1"), "whole");
    CHECK(has(got, "Content-Length: 5\r\n"));
}

// A caller waits without end for a target that fell silent.
TEST_CASE("a silent target ends the request at its route's time")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", always("", end::hang));
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/once/", "r1"));
    entry.run_until([&] { return target.requests().size() == 1; });
    entry.time.advance(4900ms);
    entry.settle();
    CHECK(caller->received.empty());
    entry.time.advance(200ms);
    entry.run_until([&] { return has(caller->received, " 504 "); });
    entry.run_until([&] { return target.closed_by_other() == 1; });
}

TEST_CASE("a repeatable request leaves a silent target in time for another")
{
    serving_fixture entry;
    std::size_t sent = 0;
    const auto silent = [&sent](const std::string& text, std::size_t number)
    {
        return ++sent == 1 ? scripted_target::reaction{"", end::hang}
                           : good(text, number);
    };
    entry.add_target("plain", silent);
    entry.add_target("plain", silent);
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/again/", "r1"));
    entry.run_until([&] { return sent == 1; });
    entry.time.advance(2500ms);
    entry.run_until([&] { return has(caller->received, "whole"); });
}

// A target works on for a caller who has gone.
TEST_CASE("the target's connection closes when the caller leaves")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", always("", end::hang));
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/once/", "r1"));
    entry.run_until([&] { return target.requests().size() == 1; });
    caller->socket.close();
    entry.settle();
    entry.time.advance(300ms);
    entry.run_until([&] { return target.closed_by_other() == 1; });
}

// Seen: targets get work of callers who left over a second before.
// 1. The process stands still, or is behind with its work. 2. A caller sends a
// request, loses patience and closes its connection. 3. The process goes on,
// finds both, and sent the request on: a close was only heeded some time
// after it was read, as if it had just come.
TEST_CASE("a request whose caller left while the process was behind is dropped")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", good);
    entry.settle();
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/once/", "r1"));
    caller->socket.close();
    entry.time.advance(1500ms);
    entry.settle();
    entry.settle();
    CHECK(target.requests().empty());
}

// A caller that closes its sending side after its request gets no answer.
TEST_CASE("a caller that has said all still gets a prompt answer")
{
    serving_fixture entry;
    entry.add_target("plain", good);
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/once/", "r1"));
    caller->socket.shutdown(mangofold::serving::tcp::socket::shutdown_send);
    entry.run_until([&] { return has(caller->received, "whole"); });
    entry.run_until([&] { return caller->is_ended; });
}

// A request taken in the last moments of a stop is cut off.
TEST_CASE("near the end of a stop requests are sent elsewhere before they run")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", good);
    entry.context->drain.emplace(entry.time.now() - 3s, 3s, 2);
    const std::string got =
        entry.send_and_receive(request_text("/once/", "r1"));
    CHECK(has(got, " 503 "));
    CHECK(has(got, "Retry-After"));
    CHECK(target.requests().empty());
}

TEST_CASE("a stopping process answers, and closes each connection after")
{
    serving_fixture entry;
    entry.add_target("plain", good);
    entry.context->drain.emplace(entry.time.now(), 8s, 2);
    const std::string got =
        entry.send_and_receive(request_text("/once/", "r1"), "whole");
    CHECK(has(got, "Connection: close"));
}

TEST_CASE("a caller that is slow with its head is turned away")
{
    serving_fixture entry;
    const auto caller = entry.connect();
    entry.send(*caller, "GET /once/ HTT");
    entry.settle();
    entry.time.advance(3100ms);
    entry.run_until([&] { return has(caller->received, " 408 "); });
    entry.run_until([&] { return caller->is_ended; });
}

// A request goes over a connection to a process that is no more.
TEST_CASE("no connection to a former start of a target is used")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", good);
    mangofold::decision::listed_target listed =
        *entry.context->directory.serving("plain").front();
    CHECK(has(entry.send_and_receive(request_text("/once/", "r1"), "whole"),
              "whole"));
    CHECK(has(entry.send_and_receive(request_text("/once/", "r2"), "whole"),
              "whole"));
    CHECK(target.connections() == 1);
    listed.start.born = 200;
    ++listed.revision;
    entry.context->directory.note(listed);
    CHECK(has(entry.send_and_receive(request_text("/once/", "r3"), "whole"),
              "whole"));
    CHECK(target.connections() == 2);
}
