#include "support/complete_responses.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <boost/asio/write.hpp>

#include <string>
#include <vector>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;
using end = scripted_target::response::connection_action;

namespace
{

const std::string unframed_head =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\n";
const std::string chunked_head = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: "
                                 "s\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string last_chunk = "0\r\n\r\n";

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
           "\n\n";
}

/// More bytes than the system takes for a peer that does not read.
constexpr std::size_t long_body = 16U << 20U;

/// An entry with \a count targets of which the first one that gets a request
/// reacts with \a first, and the others with \a second.
struct broken_answer_fixture : serving_fixture
{
    broken_answer_fixture(const std::string& service, std::size_t count,
                          scripted_target::response first,
                          const std::string& second = {})
    {
        while (targets.size() < count)
            targets.push_back(&add_target(
                service,
                [=, this](const std::string& text, std::size_t)
                {
                    requests.push_back(text);
                    return requests.size() == 1
                               ? first
                               : scripted_target::response{second, end::keep};
                }));
    }

    /// Returns what the caller of a request with the body \a body gets until
    /// its connection ends.
    std::string upload(const std::string& route, const std::string& body)
    {
        const auto from = connect();
        const std::string text =
            "POST" +
            request_text(route, "r1",
                         "Connection: close\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n")
                .substr(3) +
            body;
        serving::asio::async_write(
            from->socket, serving::asio::buffer(text),
            [](const serving::error_code&, std::size_t) {});
        run_until(
            [&]
            {
                time.advance(1ms);
                return from->is_ended;
            });
        return from->received;
    }

    std::string ask(const std::string& route) { return upload(route, {}); }

    bool is_crash_recorded() const
    {
        return !context->quarantine.crashes().is_empty();
    }

    std::vector<scripted_target*> targets;
    std::vector<std::string> requests;
};

/// The same with targets that react to the head of a request, while its long
/// body is being sent.
struct early_answer_fixture : broken_answer_fixture
{
    early_answer_fixture(const std::string& service, std::size_t count,
                         scripted_target::response first,
                         const std::string& second = {})
        : broken_answer_fixture(service, count, std::move(first), second)
    {
        for (scripted_target* target : targets)
            target->set_answers_early();
        catalog::document changed = context->catalog->content();
        changed.limits.body_bytes = long_body;
        context->catalog = std::make_shared<catalog::catalog_index>(changed);
    }

    std::string ask(const std::string& route)
    {
        return upload(route, std::string(long_body, 'x'));
    }
};

/// Returns the reaction of a target that sends \a bytes and resets the
/// connection once they have been read.
scripted_target::response resets(const std::string& bytes)
{
    return {bytes, end::reset, {}, 20ms};
}

/// Returns the reaction of a target that sends the last \a size bytes of
/// \a bytes apart, and then nothing.
scripted_target::response in_parts(const std::string& bytes, std::size_t size)
{
    const std::size_t first = bytes.size() - size;
    return {bytes.substr(0, first), end::hang, {},  {},
            bytes.substr(first),    1,         20ms};
}

/// An entry with one target of stage calls, which reacts to the id of a call
/// and the number of calls before it.
struct calling_fixture : serving_fixture
{
    using script = std::function<scripted_target::response(
        const std::string& id, std::size_t calls)>;

    explicit calling_fixture(script respond)
    {
        target = &add_target(
            "pieces",
            [this, respond](const std::string& request, std::size_t)
            {
                const std::size_t at = request.find("\r\nId: ") + 6;
                return respond(
                    request.substr(at, request.find("\r\n", at) - at), calls++);
            });
    }

    /// Returns the outcome of a job of one piece for the request \a id.
    std::optional<serving::job_outcome> call(const std::string& id)
    {
        decision::stage_job job;
        job.request = id;
        job.pieces = 1;
        job.due = job.expires = time.now() + 60s;
        std::optional<serving::job_outcome> outcome;
        batcher->add(
            "pieces", job,
            [&outcome](serving::job_outcome ended)
            {
                outcome = std::move(ended);
                return true;
            },
            [] { return true; }, [] {});
        for (int step = 0; step < 400 && !outcome; ++step)
        {
            time.advance(50ms);
            loop.run_for(1ms);
        }
        return outcome;
    }

    scripted_target* target = nullptr;
    std::size_t calls = 0;
};

} // namespace

// Guards against a part of an answer that is returned as whole: its target
// resets the connection while the request's body is being sent to it.
TEST_CASE("an answer that is reset during the upload is not returned in part")
{
    early_answer_fixture once("plain", 1, resets(unframed_head + "half"));
    CHECK(contains(once.ask("/once/"), " 502 "));
    CHECK(once.requests.size() == 1);
    CHECK(once.is_crash_recorded());
    early_answer_fixture again("plain", 2, resets(unframed_head + "half"),
                               response_text("r1", "whole"));
    const std::string got = again.ask("/again/");
    CHECK(contains(got, " 200 "));
    CHECK(got.ends_with("\r\n\r\nwhole"));
    CHECK(again.requests.size() == 2);
}

// Guards against a stream that ends as complete before its last event, for the
// same reason.
TEST_CASE("a stream that is reset during the upload is not ended as whole")
{
    early_answer_fixture once("events", 1, resets(unframed_head + event(1)));
    const std::string part = once.ask("/once-events/");
    CHECK(contains(part, "data: e1"));
    CHECK_FALSE(contains(part, last_chunk));
    CHECK(once.requests.size() == 1);
    CHECK(once.is_crash_recorded());
    early_answer_fixture resumed("events", 2, resets(unframed_head + event(1)),
                                 chunked_head + "10\r\n" + event(2) + "\r\n" +
                                     last_chunk);
    const std::string whole = resumed.ask("/events/");
    REQUIRE(resumed.requests.size() == 2);
    CHECK(contains(resumed.requests[1], "After: 1\r\n"));
    CHECK(contains(whole, "data: e2"));
    CHECK(contains(whole, last_chunk));
}

// Guards against results of a call that are taken from a part of its answer,
// for the same reason.
TEST_CASE("a call that is reset while it is sent brings no results")
{
    calling_fixture entry(
        [](const std::string& id, std::size_t calls)
        {
            return calls == 0 ? resets("HTTP/1.1 200 OK\r\nId: " + id +
                                       "\r\nSeal: s\r\n\r\nx/r1.0")
                              : scripted_target::response{
                                    response_text(id, "x/r1.0.0\n"), end::keep};
        });
    entry.target->set_answers_early();
    const auto outcome = entry.call(std::string(long_body, 'r'));
    REQUIRE(outcome);
    CHECK(outcome->handles == std::vector<std::string>{"x/r1.0.0"});
    CHECK(entry.calls == 2);
}

// Guards against an early answer that is lost, although its target has ended it
// and only closes the rest of the upload.
TEST_CASE("an answer that ends in order during the upload is returned")
{
    for (const end then : {end::finish, end::reset, end::hang})
        for (const std::string& early :
             {unframed_head + "whole", response_text("r1", "whole"),
              chunked_head + "5\r\nwhole\r\n" + last_chunk,
              response_text("r1", "whole", "413 Content Too Large"),
              response_text("r1", "whole", "401 Unauthorized")})
        {
            const bool has_length = !early.starts_with(unframed_head);
            if (then != end::finish && !has_length)
                continue;
            CAPTURE(then);
            CAPTURE(early);
            early_answer_fixture entry("plain", 1, {early, then, {}, 20ms});
            const std::string got = entry.ask("/once/");
            CHECK(got.substr(0, 12) == early.substr(0, 12));
            CHECK(got.ends_with("\r\n\r\nwhole"));
            CHECK(entry.requests.size() == 1);
            CHECK_FALSE(entry.is_crash_recorded());
        }
}

// Guards against an answer that is taken from the body of a broken one: a
// status that no interim answer has is skipped as if it had no body.
TEST_CASE("an answer whose status is none is refused at once")
{
    for (const std::string status : {"000 None", "001 x", "042 x", "099 x",
                                     "101 Switching", "600 x", "999 x"})
        for (const std::string& body : {response_text("r1", "foreign"),
                                        std::string("text"), std::string()})
            for (const bool is_body_late : {false, true})
            {
                CAPTURE(status);
                CAPTURE(body);
                CAPTURE(is_body_late);
                const auto broken = in_parts(response_text("r1", body, status),
                                             is_body_late ? body.size() : 0);
                broken_answer_fixture once("plain", 1, broken);
                const auto asked_at = once.time.now();
                const std::string got = once.ask("/once/");
                CHECK(contains(got, " 502 "));
                CHECK_FALSE(contains(got, "foreign"));
                CHECK(once.time.now() - asked_at < 300ms);
                CHECK(once.requests.size() == 1);
                CHECK_FALSE(once.is_crash_recorded());
                broken_answer_fixture again("plain", 2, broken,
                                            response_text("r1", "whole"));
                CHECK(again.ask("/again/").ends_with("\r\n\r\nwhole"));
                broken_answer_fixture stream(
                    "events", 2, broken,
                    chunked_head + "10\r\n" + event(1) + "\r\n" + last_chunk);
                const std::string events = stream.ask("/events/");
                CHECK(contains(events, "data: e1"));
                CHECK_FALSE(contains(events, "foreign"));
                CHECK(stream.requests.size() == 2);
                CHECK_FALSE(stream.is_crash_recorded());
            }
}

// Guards against results of a call that are taken from the body of such an
// answer.
TEST_CASE("a call whose answer has no valid status brings no results")
{
    calling_fixture entry(
        [](const std::string& id, std::size_t calls)
        {
            const std::string foreign = response_text(id, "x/foreign\n");
            return calls == 0 ? in_parts(response_text(id, foreign, "000 None"),
                                         foreign.size())
                              : scripted_target::response{
                                    response_text(id, "x/r1.0.0\n"), end::keep};
        });
    const auto outcome = entry.call("r1");
    REQUIRE(outcome);
    CHECK(outcome->handles == std::vector<std::string>{"x/r1.0.0"});
    CHECK(entry.calls == 2);
}

// Guards against an answer whose head two programs read differently: a line
// that one of them skips states the length of the body.
TEST_CASE("an answer with a blank or control byte in a field's name is refused")
{
    std::vector<char> bytes{' ', '(', '\x7f', '\x85'};
    for (char control = '\0'; control < ' '; ++control)
        bytes.push_back(control);
    for (const char byte : bytes)
        for (const std::string name : {"Content-Length", "X-Other"})
            for (const std::size_t at :
                 {std::size_t{0}, std::size_t{3}, name.size()})
                for (const bool is_trailer : {false, true})
                {
                    CAPTURE(static_cast<int>(byte));
                    CAPTURE(name);
                    CAPTURE(at);
                    CAPTURE(is_trailer);
                    std::string line = name + ": 4\r\n";
                    line.insert(at, 1, byte);
                    const std::string broken =
                        is_trailer ? chunked_head + "4\r\nhalf\r\n0\r\n" +
                                         line + "\r\n"
                                   : "HTTP/1.1 200 OK\r\n" + line +
                                         "Id: r1\r\nSeal: s\r\n\r\nhalf";
                    broken_answer_fixture once("plain", 1,
                                               {broken, end::close});
                    CHECK(contains(once.ask("/once/"), " 502 "));
                    CHECK(once.requests.size() == 1);
                    CHECK_FALSE(once.is_crash_recorded());
                }
}

// Guards against a control byte that is passed on in the value of a field.
TEST_CASE("an answer with a control byte in a field's value is refused")
{
    std::vector<char> bytes{'\x7f'};
    for (char control = '\0'; control < ' '; ++control)
        if (control != '\t')
            bytes.push_back(control);
    for (const char byte : bytes)
    {
        CAPTURE(static_cast<int>(byte));
        std::string line = "X-Other: value\r\n";
        line.insert(11, 1, byte);
        broken_answer_fixture once(
            "plain", 1,
            {response_text("r1", "whole", "200 OK", "Seal: s\r\n" + line),
             end::close});
        CHECK(contains(once.ask("/once/"), " 502 "));
        CHECK_FALSE(once.is_crash_recorded());
    }
}

// Guards against a line that a faulty target meant as a field of its own and
// that is passed on in the value of the one before.
TEST_CASE("an answer with a line that begins with a blank is refused")
{
    const std::vector<std::string> lines{"HTTP/1.1 200 OK\r\n", "Id: r1\r\n",
                                         "Seal: s\r\n",
                                         "Content-Length: 5\r\n"};
    for (const std::string folded :
         {" X-Bad: v\r\n", "\tX-Bad: v\r\n", " \r\n"})
        for (std::size_t after = 0; after < lines.size(); ++after)
        {
            std::string broken;
            for (std::size_t line = 0; line < lines.size(); ++line)
                broken += lines[line] + (line == after ? folded : "");
            const std::size_t at = broken.find(folded);
            broken += "\r\nwhole";
            for (const std::size_t last_part :
                 {std::size_t{0}, broken.size() - at, broken.size() - at - 1,
                  broken.size() - at + 1})
            {
                CAPTURE(broken);
                CAPTURE(last_part);
                broken_answer_fixture once("plain", 1,
                                           in_parts(broken, last_part));
                CHECK(contains(once.ask("/once/"), " 502 "));
                CHECK(once.requests.size() == 1);
                CHECK_FALSE(once.is_crash_recorded());
                broken_answer_fixture again("plain", 2,
                                            in_parts(broken, last_part),
                                            response_text("r1", "sound"));
                CHECK(again.ask("/again/").ends_with("\r\n\r\nsound"));
            }
        }
    broken_answer_fixture interim(
        "plain", 1,
        in_parts("HTTP/1.1 103 x\r\nLink: a\r\n b\r\n\r\n" +
                     response_text("r1", "whole"),
                 0));
    CHECK(contains(interim.ask("/once/"), " 502 "));
    broken_answer_fixture sound(
        "plain", 1, {response_text("r1", "a\r\n b\n\tc"), end::keep});
    CHECK(sound.ask("/once/").ends_with("\r\n\r\na\r\n b\n\tc"));
}

// Guards against the same in a trailer, whose fields would be passed on as if
// they had been in the head.
TEST_CASE("no line of a trailer is passed on")
{
    for (const std::string trailer :
         {"X-Bad: v\r\n", "Y: 1\r\n X-Bad: v\r\n", "Y: 1\r\n\tX-Bad: v\r\n",
          "Seal: other X-Bad\r\n"})
        for (const std::size_t last_part : {std::size_t{0}, trailer.size() + 2})
        {
            CAPTURE(trailer);
            CAPTURE(last_part);
            broken_answer_fixture once("plain", 1,
                                       in_parts(chunked_head +
                                                    "5\r\nwhole\r\n0\r\n" +
                                                    trailer + "\r\n",
                                                last_part));
            const std::string got = once.ask("/once/");
            CHECK(contains(got, " 200 "));
            CHECK(got.ends_with("\r\n\r\nwhole"));
            CHECK_FALSE(contains(got, "X-Bad"));
        }
}
