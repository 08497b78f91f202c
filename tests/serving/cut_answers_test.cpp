#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;
using end = scripted_target::response::connection_action;

namespace
{

const std::string body = "whole body";
const std::string seal = "Id: ID\r\nSeal: s\r\n";
const std::string interim =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n";
const std::string head = "HTTP/1.1 200 OK\r\n" + seal;
const std::string chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";

/// An answer of a target; ID stands for the request's id.
struct answer_format
{
    std::string name;
    std::string bytes;
    /// Number of bytes from which on a close ends the answer in order, if it
    /// has neither a length nor chunks.
    std::size_t ends_from = std::string::npos;
    std::string method = "GET";
    std::string status = "200";
    std::string expected_body = body;
};

std::string with_id(std::string text, const std::string& id)
{
    // Ids have the length of the placeholder, so that cuts stay in place.
    for (std::size_t at = text.find("ID\r\n"); at != std::string::npos;
         at = text.find("ID\r\n", at))
        text.replace(at, 2, id);
    return text;
}

std::vector<answer_format> whole_answers()
{
    const std::string sized =
        head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const std::string chunks =
        "5\r\n" + body.substr(0, 5) + "\r\n5;x=y\r\n" + body.substr(5) + "\r\n";
    const std::string unframed = head + "\r\n";
    return {
        {"length", sized + body},
        {"length after interim answers", interim + sized + body},
        {"chunked", chunked_head + chunks + "0\r\n\r\n"},
        {"chunked with trailer", chunked_head + chunks + "0\r\nX-T: 1\r\n\r\n"},
        {"ended by close", unframed + body, unframed.size()},
        {"ended by close after interim answers", interim + unframed + body,
         (interim + unframed).size()},
        {"HEAD", sized, std::string::npos, "HEAD", "200", ""},
        {"HEAD, chunked", chunked_head, std::string::npos, "HEAD", "200", ""},
        {"HEAD, ended by close", unframed, unframed.size(), "HEAD", "200", ""},
        {"204", "HTTP/1.1 204 No Content\r\n" + seal + "\r\n",
         std::string::npos, "GET", "204", ""},
        {"304", "HTTP/1.1 304 Not Modified\r\n" + seal + "\r\n",
         std::string::npos, "GET", "304", ""}};
}

std::string status_of(const std::string& received)
{
    return received.size() < 12 ? std::string() : received.substr(9, 3);
}

std::string body_of(const std::string& received)
{
    const std::size_t at = received.find("\r\n\r\n");
    return at == std::string::npos ? std::string() : received.substr(at + 4);
}

/// Returns the value of the field Content-Length of \a received.
std::string length_of(const std::string& received)
{
    const std::size_t at = received.find("Content-Length: ");
    return at == std::string::npos
               ? std::string()
               : received.substr(at + 16, received.find("\r\n", at) - at - 16);
}

/// An entry whose targets cut their first answer to each request.
struct cutting_entry : serving_fixture
{
    cutting_entry(const std::string& service, std::size_t targets)
    {
        for (std::size_t count = 0; count < targets; ++count)
            add_target(service,
                       [this](const std::string&, std::size_t)
                       {
                           return std::exchange(is_cut, false)
                                      ? cut
                                      : scripted_target::response{whole,
                                                                  end::close};
                       });
    }

    /// Returns what the caller of a request gets until the connection ends, if
    /// the first target sends \a size bytes of \a bytes and then does \a then.
    /// Each request has a path of its own, so that no crash of its target is
    /// held against the next.
    std::string ask(const std::string& method, const std::string& route,
                    const std::string& bytes, std::size_t size, end then)
    {
        const std::string id{static_cast<char>('a' + number / 26 % 26),
                             static_cast<char>('a' + number % 26)};
        whole = with_id(bytes, id);
        cut = {whole.substr(0, size), then};
        is_cut = true;
        const auto connection = connect();
        const std::string request = request_text(
            route + std::to_string(number++), id, "Connection: close\r\n");
        send(*connection, method + request.substr(3));
        run_until([&] { return connection->is_ended; });
        CHECK_FALSE(is_cut);
        return connection->received;
    }

    scripted_target::response cut;
    std::string whole;
    bool is_cut = false;
    std::size_t number = 0;
};

/// Calls \a check with each number of bytes of \a bytes at which an answer can
/// be cut, and each way in which the connection can end.
template<typename Check>
void for_each_cut(const std::string& bytes, Check check)
{
    for (std::size_t size = 0; size <= bytes.size(); ++size)
        for (const end then : {end::close, end::reset})
        {
            CAPTURE(size);
            CAPTURE(then == end::close);
            check(size, then);
        }
}

} // namespace

// Guards against a caller that gets a part of an answer, framed as a whole one.
TEST_CASE("an answer that is cut at any byte is never returned as whole")
{
    for (const answer_format& format : whole_answers())
    {
        CAPTURE(format.name);
        cutting_entry entry("plain", 1);
        for_each_cut(
            format.bytes,
            [&](std::size_t size, end then)
            {
                const std::string got = entry.ask(format.method, "/once/",
                                                  format.bytes, size, then);
                const bool is_ended =
                    then == end::close && size >= format.ends_from;
                if (size == format.bytes.size() && then == end::reset)
                {
                    // The reset may overtake the answer.
                    if (status_of(got) != "502")
                        CHECK(body_of(got) == format.expected_body);
                }
                else if (is_ended || size == format.bytes.size())
                {
                    CHECK(status_of(got) == format.status);
                    CHECK(body_of(got) ==
                          (is_ended && format.method != "HEAD"
                               ? format.bytes.substr(format.ends_from,
                                                     size - format.ends_from)
                               : format.expected_body));
                }
                else
                {
                    CHECK(status_of(got) == "502");
                    if (format.method != "HEAD")
                        CHECK(length_of(got) ==
                              std::to_string(body_of(got).size()));
                }
            });
    }
}

// Guards against a caller that loses an answer which another target can give.
TEST_CASE("a repeatable request whose answer is cut is sent to another target")
{
    for (const answer_format& format : whole_answers())
    {
        if (format.ends_from != std::string::npos)
            continue;
        CAPTURE(format.name);
        for_each_cut(format.bytes,
                     [&](std::size_t size, end then)
                     {
                         cutting_entry entry("plain", 2);
                         const std::string got =
                             entry.ask(format.method, "/again/", format.bytes,
                                       size, then);
                         CHECK(status_of(got) == format.status);
                         CHECK(body_of(got) == format.expected_body);
                     });
    }
}

namespace
{

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
           "\n\n";
}

std::string chunk(const std::string& bytes)
{
    constexpr char digits[] = "0123456789abcdef";
    return std::string{digits[bytes.size() / 16], digits[bytes.size() % 16]} +
           "\r\n" + bytes + "\r\n";
}

/// Returns the content of the chunks after the head of \a received, and whether
/// the last one is there.
std::pair<std::string, bool> unchunked(const std::string& received)
{
    std::string rest = body_of(received);
    std::string content;
    while (!rest.empty())
    {
        const std::size_t line = rest.find("\r\n");
        REQUIRE(line != std::string::npos);
        const std::size_t size = std::stoul(rest.substr(0, line), nullptr, 16);
        if (size == 0)
            return {content, rest == "0\r\n\r\n"};
        REQUIRE(rest.size() >= line + 2 + size + 2);
        content += rest.substr(line + 2, size);
        rest.erase(0, line + 2 + size + 2);
    }
    return {content, false};
}

} // namespace

// Guards against a stream that looks complete and lacks its last events.
TEST_CASE("a stream that is cut at any byte is never ended as whole")
{
    const std::string events = event(1) + event(2) + event(3);
    const std::string unframed = head + "\r\n";
    const std::vector<answer_format> formats{
        {"chunked", chunked_head + chunk(event(1)) + chunk(event(2)) +
                        chunk(event(3)) + "0\r\n\r\n"},
        {"chunks across events, with trailer",
         chunked_head + chunk(events.substr(0, 20)) + chunk(events.substr(20)) +
             "0\r\nX-T: 1\r\n\r\n"},
        {"length", interim + head + "Content-Length: " +
                       std::to_string(events.size()) + "\r\n\r\n" + events},
        {"ended by close", unframed + events, unframed.size()}};
    for (const answer_format& format : formats)
    {
        CAPTURE(format.name);
        for_each_cut(
            format.bytes,
            [&](std::size_t size, end then)
            {
                cutting_entry entry("events", 1);
                const std::string got =
                    entry.ask("GET", "/once-events/", format.bytes, size, then);
                if (status_of(got) != "200")
                {
                    CHECK((size < format.bytes.size() || then == end::reset));
                    CHECK(status_of(got) == "502");
                    return;
                }
                const auto [content, is_whole] = unchunked(got);
                CHECK(events.starts_with(content));
                // Only whole events are passed on.
                CHECK(content.ends_with("\n\n"));
                const bool may_be_whole =
                    size == format.bytes.size() ||
                    (then == end::close && size >= format.ends_from &&
                     format.bytes.substr(format.ends_from,
                                         size - format.ends_from) == content);
                if (is_whole)
                    CHECK(may_be_whole);
            });
    }
}

// Guards against results of a call that are taken from a part of its answer.
TEST_CASE("a call whose answer is cut at any byte brings no results")
{
    const std::string results = "x/r1.0.0\n";
    const std::string sized =
        head + "Content-Length: " + std::to_string(results.size()) + "\r\n\r\n";
    for (const std::string& bytes :
         {interim + sized + results,
          chunked_head + chunk(results.substr(0, 4)) +
              chunk(results.substr(4)) + "0\r\nX-T: 1\r\n\r\n"})
        for_each_cut(
            bytes,
            [&](std::size_t size, end then)
            {
                serving_fixture entry;
                std::size_t calls = 0;
                entry.add_target(
                    "pieces",
                    [&](const std::string& request, std::size_t)
                    {
                        const std::size_t at = request.find("\r\nId: ") + 6;
                        std::string whole = bytes;
                        whole.replace(
                            whole.find("ID\r\n"), 2,
                            request.substr(at, request.find("\r\n", at) - at));
                        // Cut as many bytes from the end, as ids differ in
                        // length.
                        const std::size_t removed = bytes.size() - size;
                        whole.resize(calls++ == 0 && whole.size() >= removed
                                         ? whole.size() - removed
                                         : whole.size());
                        return scripted_target::response{
                            whole, calls == 1 ? then : end::keep};
                    });
                decision::stage_job job;
                job.request = "r1";
                job.pieces = 1;
                job.due = job.expires = entry.time.now() + 60s;
                std::optional<serving::job_outcome> outcome;
                entry.batcher->add(
                    "pieces", job,
                    [&outcome](serving::job_outcome ended)
                    {
                        outcome = std::move(ended);
                        return true;
                    },
                    [] { return true; }, [] {});
                for (int step = 0; step < 400 && !outcome; ++step)
                {
                    entry.time.advance(50ms);
                    entry.loop.run_for(1ms);
                }
                REQUIRE(outcome);
                CHECK(outcome->status == decision::job_status::completed);
                CHECK(outcome->handles == std::vector<std::string>{"x/r1.0.0"});
                if (size < bytes.size())
                    CHECK(calls == 2);
            });
}
