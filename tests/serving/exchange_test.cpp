#include "support/complete_responses.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;
using namespace std::chrono_literals;
using action = scripted_target::response::connection_action;

namespace
{

scripted_target::script always_respond(std::string bytes, action after_send)
{
    return [bytes = std::move(bytes), after_send](const std::string&,
                                                  std::size_t) {
        return scripted_target::response{bytes, after_send};
    };
}

} // namespace

TEST_CASE("a request and its answer are relayed unchanged")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", complete_response);
    const std::string received = entry.send_and_receive(
        request_text("/once/x?y=1", "r1", "Other: o\r\n"), "whole");
    CHECK(contains(received, "HTTP/1.1 200 OK\r\n"));
    CHECK(contains(received, "Seal: s\r\n"));
    REQUIRE(target.requests().size() == 1);
    CHECK(contains(target.requests()[0], "GET /once/x?y=1 HTTP/1.1\r\n"));
    CHECK(contains(target.requests()[0], "Other: o\r\n"));
    CHECK(contains(target.requests()[0], "To: t1\r\n"));
    CHECK(contains(target.requests()[0], "Account: club\r\n"));
    CHECK_FALSE(contains(target.requests()[0], "good-key"));
}

TEST_CASE("connections to callers and targets are reused")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", complete_response);
    const auto caller = entry.connect();
    for (int number = 0; number < 3; ++number)
    {
        const std::string id = "r" + std::to_string(number);
        entry.send(*caller, request_text("/once/", id));
        entry.run_until([&]
                        { return contains(caller->received, "Id: " + id); });
        entry.settle();
    }
    CHECK(target.connections() == 1);
    CHECK_FALSE(caller->is_ended);
}

// Guards against closing the connection before the answer is sent.
TEST_CASE("Connection: close is honoured after the answer is sent")
{
    serving_fixture entry;
    entry.add_target("plain", complete_response);
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/once/", "r1", "Connection: close\r\n"));
    entry.run_until([&] { return caller->is_ended; });
    CHECK(contains(caller->received, "whole"));
}

TEST_CASE("invalid requests are refused with the matching status")
{
    serving_fixture entry;
    entry.add_target("plain", complete_response);
    CHECK(contains(entry.send_and_receive(request_text("/nothing/", "r1")),
                   " 404 "));
    CHECK(contains(
        entry.send_and_receive("GET /once/ HTTP/1.1\r\nHost: h\r\nKey: bad\r\n"
                               "Id: r1\r\n\r\n"),
        " 401 "));
    CHECK(contains(entry.send_and_receive(
                       "GET /once/ HTTP/1.1\r\nHost: h\r\nKey: good-key\r\n"
                       "\r\n"),
                   " 400 "));
    CHECK(contains(entry.send_and_receive("nonsense\r\n\r\n"), " 400 "));
    entry.context->catalog = nullptr;
    CHECK(contains(entry.send_and_receive(request_text("/once/", "r1")),
                   " 503 "));
}

// When all entries start at once, requests arrive some hundredths of a second
// before the configuration. Refusing them would cost each caller its one retry.
TEST_CASE("a request to a starting process waits for the first configuration")
{
    serving_fixture entry;
    entry.add_target("plain", complete_response);
    const auto catalog = std::exchange(entry.context->catalog, nullptr);
    entry.context->startup_wait_end = entry.time.now() + 500ms;
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/once/", "r1"));
    entry.settle();
    CHECK(caller->received.empty());
    entry.time.advance(100ms);
    entry.settle();
    entry.context->catalog = catalog;
    entry.time.advance(50ms);
    entry.run_until([&] { return contains(caller->received, "whole"); });
    CHECK(contains(caller->received, "200 OK"));
}

// The list of targets arrives in pages, and the first page may hold no target
// of the request's service.
TEST_CASE("a request to a starting process waits for a target of its service")
{
    serving_fixture entry;
    entry.context->has_all_targets = false;
    entry.context->startup_wait_end = entry.time.now() + 500ms;
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/once/", "r1"));
    entry.settle();
    CHECK(caller->received.empty());
    entry.add_target("plain", complete_response);
    entry.time.advance(50ms);
    entry.run_until([&] { return contains(caller->received, "whole"); });
    CHECK(contains(caller->received, "200 OK"));
}

// If the configuration can't be read, requests wait for a limited time after
// the start, and later requests are refused without waiting.
TEST_CASE(
    "a process refuses requests if the configuration does not arrive in time")
{
    serving_fixture entry;
    entry.context->catalog = nullptr;
    entry.context->startup_wait_end = entry.time.now() + 500ms;
    const auto early_caller = entry.connect();
    entry.send(*early_caller, request_text("/once/", "r1"));
    entry.settle();
    entry.time.advance(600ms);
    entry.run_until([&] { return contains(early_caller->received, "503"); });
    CHECK(contains(early_caller->received, "Retry-After"));
    CHECK(
        contains(entry.send_and_receive(request_text("/once/", "r2")), "503"));
}

// Guards against request smuggling: if header fields disagree about where a
// body ends, one side takes the rest of the bytes for another request.
TEST_CASE("requests with ambiguous body length are refused")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", complete_response);
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
        CHECK(contains(entry.send_and_receive(head + fields + "\r\n" + hidden),
                       " 400 "));
    }
    CHECK(target.requests().empty());
}

// Guards against a request that runs with a part of its body, since its caller
// was killed: the system ends the connection in order.
TEST_CASE("a request that is cut at any byte is not run")
{
    const std::string head =
        "POST /once/ HTTP/1.1\r\nHost: h\r\nKey: good-key\r\nId: r1\r\n";
    for (const std::string& whole :
         {head + "Content-Length: 5\r\n\r\nabcde",
          head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n"
                 "0\r\n\r\n"})
        for (std::size_t size = 0; size < whole.size(); ++size)
        {
            CAPTURE(whole);
            CAPTURE(size);
            serving_fixture entry;
            auto& target = entry.add_target("plain", complete_response);
            const auto caller = entry.connect();
            entry.send(*caller, whole.substr(0, size));
            caller->socket.shutdown(
                mangofold::serving::tcp::socket::shutdown_send);
            entry.run_until([&] { return caller->is_ended; });
            CHECK(caller->received.empty());
            CHECK(target.requests().empty());
        }
}

// Guards against a body that no answer to HEAD has: its bytes are taken for the
// next answer of the connection.
TEST_CASE("the refusal of a HEAD request has no body")
{
    serving_fixture entry;
    entry.add_target("plain", complete_response);
    const auto caller = entry.connect();
    std::string refused = request_text("/unknown/", "r1");
    refused.replace(0, 3, "HEAD");
    entry.send(*caller, refused + request_text("/once/", "r2"));
    entry.run_until([&] { return contains(caller->received, "whole"); });
    CHECK(contains(caller->received, " 404 "));
    CHECK(contains(caller->received, "\r\n\r\nHTTP/1.1 200 "));
}

TEST_CASE("chunked request bodies are forwarded with Content-Length")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", complete_response);
    entry.send_and_receive(
        "POST /once/ HTTP/1.1\r\nHost: h\r\nKey: good-key\r\nId: r1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
        "0\r\n\r\n",
        "whole");
    REQUIRE(target.requests().size() == 1);
    CHECK(contains(target.requests()[0], "Content-Length: 5\r\n\r\nabcde"));
}

// A request with side effects, such as redeeming a voucher, must not run twice.
// If the connection is reset before an answer, the request may have run, so it
// must not be retried, and the caller must not be told that it has not run.
TEST_CASE("a non-repeatable request is not retried after a reset")
{
    serving_fixture entry;
    auto& first = entry.add_target("plain", always_respond("", action::reset));
    auto& second = entry.add_target("plain", always_respond("", action::reset));
    const std::string received =
        entry.send_and_receive(request_text("/once/", "r1"));
    CHECK(contains(received, " 502 "));
    CHECK_FALSE(contains(received, "Retry-After"));
    CHECK(first.requests().size() + second.requests().size() == 1);
}

TEST_CASE("a repeatable request is retried on another target after a reset")
{
    serving_fixture entry;
    std::size_t sent = 0;
    const auto reset_first_request =
        [&sent](const std::string& text, std::size_t number)
    {
        return ++sent == 1 ? scripted_target::response{"", action::reset}
                           : complete_response(text, number);
    };
    entry.add_target("plain", reset_first_request);
    entry.add_target("plain", reset_first_request);
    CHECK(
        contains(entry.send_and_receive(request_text("/again/", "r1"), "whole"),
                 " 200 "));
    CHECK(sent == 2);
}

TEST_CASE("a request that a target refuses to run is sent to another target")
{
    serving_fixture entry;
    std::size_t sent = 0;
    const auto refuse_first_request =
        [&sent](const std::string& text, std::size_t number)
    {
        return ++sent == 1
                   ? scripted_target::response{response_text("r1", "",
                                                             "503 Full",
                                                             "Not-Run: 1\r\n"),
                                               action::keep}
                   : complete_response(text, number);
    };
    entry.add_target("plain", refuse_first_request);
    entry.add_target("plain", refuse_first_request);
    CHECK(
        contains(entry.send_and_receive(request_text("/once/", "r1"), "whole"),
                 " 200 "));
}

TEST_CASE("a caller gets Retry-After if all targets refuse the request")
{
    serving_fixture entry;
    const auto refuse_all = [](const std::string&, std::size_t)
    {
        return scripted_target::response{
            response_text("r1", "", "503 Full", "Not-Run: 1\r\n"),
            action::keep};
    };
    entry.add_target("plain", refuse_all);
    entry.add_target("plain", refuse_all);
    const std::string received =
        entry.send_and_receive(request_text("/once/", "r1"));
    CHECK(contains(received, " 503 "));
    CHECK(contains(received, "Retry-After: "));
}

// If a target answers a request twice, the second answer arrives while the
// connection carries the next request. Relaying it would give one caller the
// answer of another.
TEST_CASE("a second answer to an earlier request is skipped")
{
    serving_fixture entry;
    entry.add_target("plain",
                     [](const std::string& text, std::size_t number)
                     {
                         auto response = complete_response(text, number);
                         if (number == 1)
                             response.bytes =
                                 response_text("r1", "stray") + response.bytes;
                         return response;
                     });
    CHECK(
        contains(entry.send_and_receive(request_text("/once/", "r1"), "whole"),
                 "whole"));
    const std::string received =
        entry.send_and_receive(request_text("/once/", "r2"), "whole");
    CHECK(contains(received, "Id: r2"));
    CHECK_FALSE(contains(received, "stray"));
}

TEST_CASE("a connection with bytes after the answer is not reused")
{
    serving_fixture entry;
    auto& target =
        entry.add_target("plain",
                         [](const std::string& text, std::size_t number)
                         {
                             auto response = complete_response(text, number);
                             response.bytes += response_text("r1", "extra");
                             return response;
                         });
    CHECK_FALSE(
        contains(entry.send_and_receive(request_text("/once/", "r1"), "whole"),
                 "extra"));
    entry.send_and_receive(request_text("/once/", "r2"), "whole");
    CHECK(target.connections() == 2);
}

TEST_CASE("truncated, malformed and unsigned answers are rejected")
{
    const std::string truncated = response_text("r1", "whole").substr(0, 57);
    const std::string no_length =
        "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\nhalf";
    for (const auto& [bytes, after_send] :
         {std::pair{truncated, action::close},
          std::pair{truncated, action::reset},
          std::pair{no_length, action::reset},
          std::pair{std::string("\x01\x02 spoiled\r\n\r\n"), action::close},
          std::pair{response_text("r1", "x", "200 OK", ""), action::keep}})
    {
        serving_fixture entry;
        entry.add_target("plain", always_respond(bytes, after_send));
        CAPTURE(bytes);
        CHECK(contains(entry.send_and_receive(request_text("/once/", "r1")),
                       " 502 "));
    }
}

TEST_CASE("an answer without a length is complete after an orderly close")
{
    serving_fixture entry;
    entry.add_target(
        "plain",
        always_respond("HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\nwhole",
                       action::close));
    const std::string received =
        entry.send_and_receive(request_text("/once/", "r1"), "whole");
    CHECK(contains(received, "Content-Length: 5\r\n"));
}

// Guards against a caller waiting without limit for a silent target.
TEST_CASE("a request to a silent target ends at the route's timeout")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", always_respond("", action::hang));
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/once/", "r1"));
    entry.run_until([&] { return target.requests().size() == 1; });
    entry.time.advance(4900ms);
    entry.settle();
    CHECK(caller->received.empty());
    entry.time.advance(200ms);
    entry.run_until([&] { return contains(caller->received, " 504 "); });
    entry.run_until([&] { return target.closed_by_peer() == 1; });
}

TEST_CASE(
    "a repeatable request leaves a silent target early enough for a retry")
{
    serving_fixture entry;
    std::size_t sent = 0;
    const auto hang_on_first_request =
        [&sent](const std::string& text, std::size_t number)
    {
        return ++sent == 1 ? scripted_target::response{"", action::hang}
                           : complete_response(text, number);
    };
    entry.add_target("plain", hang_on_first_request);
    entry.add_target("plain", hang_on_first_request);
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/again/", "r1"));
    entry.run_until([&] { return sent == 1; });
    entry.time.advance(2500ms);
    entry.run_until([&] { return contains(caller->received, "whole"); });
}

// Guards against targets that work on for a caller that has disconnected.
TEST_CASE("the connection to the target closes when the caller disconnects")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", always_respond("", action::hang));
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/once/", "r1"));
    entry.run_until([&] { return target.requests().size() == 1; });
    caller->socket.close();
    entry.settle();
    entry.time.advance(300ms);
    entry.run_until([&] { return target.closed_by_peer() == 1; });
}

// A caller sends a request and disconnects while the process stalls. When the
// process continues, it reads both. It must not forward the request: a close
// used to take effect only some time after it was read, so targets got requests
// whose callers had left over a second before.
TEST_CASE("a request whose caller left while the process stalled is dropped")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", complete_response);
    entry.settle();
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/once/", "r1"));
    caller->socket.close();
    entry.time.advance(1500ms);
    entry.settle();
    entry.settle();
    CHECK(target.requests().empty());
}

// Guards against treating a half-closed connection as a disconnected caller.
TEST_CASE("a caller that half-closes its connection still gets an answer")
{
    serving_fixture entry;
    entry.add_target("plain", complete_response);
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/once/", "r1"));
    caller->socket.shutdown(mangofold::serving::tcp::socket::shutdown_send);
    entry.run_until([&] { return contains(caller->received, "whole"); });
    entry.run_until([&] { return caller->is_ended; });
}

// A request accepted shortly before the process ends would be cut off.
TEST_CASE("requests near the end of a shutdown are refused before they run")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", complete_response);
    entry.context->drain.emplace(entry.time.now() - 3s, 3s, 2);
    const std::string received =
        entry.send_and_receive(request_text("/once/", "r1"));
    CHECK(contains(received, " 503 "));
    CHECK(contains(received, "Retry-After"));
    CHECK(target.requests().empty());
}

TEST_CASE("a stopping process answers and then closes the connection")
{
    serving_fixture entry;
    entry.add_target("plain", complete_response);
    entry.context->drain.emplace(entry.time.now(), 8s, 2);
    const std::string received =
        entry.send_and_receive(request_text("/once/", "r1"), "whole");
    CHECK(contains(received, "Connection: close"));
}

TEST_CASE("a caller that sends its request head too slowly gets status 408")
{
    serving_fixture entry;
    const auto caller = entry.connect();
    entry.send(*caller, "GET /once/ HTT");
    entry.settle();
    entry.time.advance(3100ms);
    entry.run_until([&] { return contains(caller->received, " 408 "); });
    entry.run_until([&] { return caller->is_ended; });
}

// Guards against sending a request on a connection to a former process.
TEST_CASE("connections to a former incarnation of a target are not reused")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", complete_response);
    mangofold::decision::listed_target listed =
        *entry.context->directory.serving("plain").front();
    CHECK(
        contains(entry.send_and_receive(request_text("/once/", "r1"), "whole"),
                 "whole"));
    CHECK(
        contains(entry.send_and_receive(request_text("/once/", "r2"), "whole"),
                 "whole"));
    CHECK(target.connections() == 1);
    listed.incarnation.started_ms = 200;
    ++listed.revision;
    entry.context->directory.note(listed);
    CHECK(
        contains(entry.send_and_receive(request_text("/once/", "r3"), "whole"),
                 "whole"));
    CHECK(target.connections() == 2);
}

// Guards against a change of the configuration that closes connections: those
// that wait already were closed after the time of the configuration before.
TEST_CASE("a longer idle time counts for callers that wait already")
{
    serving_fixture entry;
    mangofold::catalog::document longer = entry.context->catalog->content();
    const auto caller = entry.connect();
    entry.settle();
    entry.time.advance(10s);
    longer.limits.idle_time = 60s;
    entry.context->catalog =
        std::make_shared<mangofold::catalog::catalog_index>(std::move(longer));
    entry.time.advance(40s);
    entry.settle();
    CHECK_FALSE(caller->is_ended);
    entry.time.advance(11s);
    entry.run_until([&] { return caller->is_ended; });
}
