#include "support/crashing_targets.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;
using namespace std::chrono_literals;

namespace
{

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
           "\n\n";
}

const std::string unframed_head =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\n";
const std::string last_chunk = "0\r\n\r\n";

/// An entry with two targets. The first one that gets a request sends
/// \a first, without a length or chunks, and does \a then; later requests get
/// \a second from either, which does \a at_last.
struct killed_target_fixture : serving_fixture
{
    killed_target_fixture(const std::string& service, std::string first,
                          std::string second, end then = end::exit,
                          end at_last = end::close)
    {
        for (std::size_t number = 0; number < 2; ++number)
            targets.push_back(
                &add_target(service,
                            [=, this](const std::string& text, std::size_t)
                            {
                                requests.push_back(text);
                                if (requests.size() > 1)
                                    return scripted_target::response{
                                        unframed_head + second, at_last, 5ms};
                                first_target = targets[number];
                                return scripted_target::response{
                                    unframed_head + first, then, {}, 20ms};
                            }));
    }

    /// Returns what the caller of a request gets until its connection ends.
    std::string ask(const std::string& route)
    {
        const auto from = connect();
        send(*from, request_text(route, "r1", "Connection: close\r\n"));
        run_until([&] { return pass_time() && from->is_ended; });
        return from->received;
    }

    bool pass_time()
    {
        time.advance(1ms);
        return true;
    }

    bool is_crash_recorded() const
    {
        return !context->quarantine.crashes().is_empty();
    }

    std::vector<scripted_target*> targets;
    scripted_target* first_target = nullptr;
    std::vector<std::string> requests;
};

} // namespace

// Guards against a stream that ends as complete before its last event: its
// target is killed between two events, which closes its connections in order.
TEST_CASE("a stream whose target is killed between two events is broken")
{
    killed_target_fixture entry("events", event(1) + event(2), event(3));
    const std::string got = entry.ask("/once-events/");
    CHECK(contains(got, "data: e2"));
    CHECK_FALSE(contains(got, last_chunk));
    CHECK(entry.requests.size() == 1);
    CHECK(entry.is_crash_recorded());
}

// Guards against the same where another target can go on with the stream.
TEST_CASE("a stream whose target is killed between two events is resumed")
{
    killed_target_fixture entry("events", event(1) + event(2), event(3));
    const std::string got = entry.ask("/events/");
    REQUIRE(entry.requests.size() == 2);
    CHECK(contains(entry.requests[1], "After: 2\r\n"));
    CHECK(contains(got, "data: e3"));
    CHECK(contains(got, last_chunk));
}

// Guards against a part of an answer that is returned as whole: its target is
// killed while it sends the body.
TEST_CASE("an answer whose target is killed is not returned in part")
{
    killed_target_fixture once("plain", "half", "whole");
    CHECK(contains(once.ask("/once/"), " 502 "));
    CHECK(once.requests.size() == 1);
    killed_target_fixture again("plain", "half", "whole");
    const std::string got = again.ask("/again/");
    CHECK(contains(got, " 200 "));
    CHECK(got.ends_with("\r\n\r\nwhole"));
    CHECK(again.requests.size() == 2);
}

// Guards against a killed target that is taken for a living one, since another
// process has started at its address, under its id or another one, and is asked
// although the witness has ended.
TEST_CASE("a target that is restarted at once does not confirm an answer")
{
    for (const std::string& status :
         {response_text("", "up", "200 OK"),
          response_text("", "up", "200 OK", "Target: other\r\n"),
          response_text("", "", "421 Misdirected", "Target: other\r\n")})
        for (const char* route : {"/once/", "/once-events/"})
        {
            CAPTURE(status);
            const bool is_stream = route == std::string("/once-events/");
            killed_target_fixture entry(is_stream ? "events" : "plain",
                                        is_stream ? event(1) : "half", "",
                                        end::hang);
            const auto from = entry.connect();
            entry.send(*from, request_text(route, "r1"));
            entry.run_until([&] { return !entry.requests.empty(); });
            entry.settle();
            entry.first_target->exit();
            entry.first_target->set_status({status});
            entry.first_target->restart();
            entry.settle();
            CHECK_FALSE(contains(from->received, last_chunk));
            CHECK(contains(from->received, " 200 ") == is_stream);
            CHECK(entry.requests.size() == 1);
            CHECK(entry.first_target->status_questions() == 0);
        }
}

// Guards against a part that is returned as whole: the entry reads the head of
// the answer only after its target was killed and restarted under its id.
TEST_CASE(
    "a target restarted before the entry reads does not confirm an answer")
{
    for (const std::string route : {"/once/", "/once-events/"})
    {
        CAPTURE(route);
        const bool is_stream = route == "/once-events/";
        killed_target_fixture entry(is_stream ? "events" : "plain",
                                    is_stream ? event(1) + event(2) : "whole",
                                    is_stream ? event(1) : "part", end::close,
                                    end::restart);
        CHECK(contains(entry.ask(route + "first"), " 200 "));
        const std::string got = entry.ask(route);
        CHECK(entry.requests.size() == 2);
        CHECK_FALSE(contains(got, last_chunk));
        CHECK(contains(got, is_stream ? "data: e1" : " 502 "));
        CHECK(entry.is_crash_recorded());
    }
}

// Guards against an answer that is given up though its target lives and has
// ended it.
TEST_CASE("an answer that its living target ends with the connection is whole")
{
    for (const std::string& status :
         {response_text("", "", "503 Unavailable"), std::string("no answer"),
          response_text("", "up", "200 OK", "Target: t1\r\n")})
        for (const char* route : {"/once/", "/once-events/"})
        {
            const bool is_stream = route == std::string("/once-events/");
            killed_target_fixture entry(is_stream ? "events" : "plain",
                                        is_stream ? event(1) : "whole", "",
                                        end::close);
            for (std::size_t number = 0; number < 2; ++number)
                entry.targets[number]->set_status(
                    {number == 0 ? status : response_text("", "up")});
            const std::string got = entry.ask(route);
            CHECK(contains(got, " 200 "));
            CHECK(got.ends_with(is_stream ? last_chunk : "whole"));
            REQUIRE(entry.first_target != nullptr);
            CHECK(entry.first_target->status_questions() == 1);
            CHECK(entry.first_target->connections() == 2);
            CHECK_FALSE(entry.is_crash_recorded());
        }
}

// Guards against the same where the target has no place for another connection,
// or closes an idle one while the answer goes on.
TEST_CASE("a target that closes the witness can confirm its answer")
{
    for (const bool is_surplus : {true, false})
        for (const char* route : {"/once/", "/once-events/"})
        {
            CAPTURE(is_surplus);
            const bool is_stream = route == std::string("/once-events/");
            killed_target_fixture entry(is_stream ? "events" : "plain",
                                        is_stream ? event(1) : "whole", "",
                                        end::close);
            if (is_surplus)
                for (scripted_target* target : entry.targets)
                    target->set_max_connections(1);
            const auto from = entry.connect();
            entry.send(*from,
                       request_text(route, "r1", "Connection: close\r\n"));
            entry.run_until([&] { return entry.first_target != nullptr; });
            entry.settle();
            if (!is_surplus)
                entry.first_target->close_newest();
            entry.settle();
            entry.time.advance(100ms);
            entry.run_until([&] { return from->is_ended; });
            CHECK(contains(from->received, " 200 "));
            CHECK(from->received.ends_with(is_stream ? last_chunk : "whole"));
            CHECK_FALSE(entry.is_crash_recorded());
        }
}

// Guards against the same where the target closes the idle witness while the
// entry waits for the head.
TEST_CASE(
    "a target that closes the witness before the head confirms its answer")
{
    serving_fixture entry;
    scripted_target& target = entry.add_target(
        "plain",
        [](const std::string&, std::size_t number)
        {
            return scripted_target::response{unframed_head + "whole",
                                             end::close, number * 200ms};
        });
    for (const std::size_t connections : {2, 4})
    {
        const auto from = entry.connect();
        entry.send(*from,
                   request_text("/once/", "r1", "Connection: close\r\n"));
        entry.settle();
        if (connections > 2)
            target.close_newest();
        entry.settle();
        entry.time.advance(150ms);
        entry.settle();
        entry.time.advance(50ms);
        entry.run_until([&] { return from->is_ended; });
        CHECK(from->received.ends_with("whole"));
        CHECK(target.connections() == connections);
        CHECK(target.status_questions() == connections / 2);
    }
    CHECK(entry.context->quarantine.crashes().is_empty());
}

// Guards against a connection that stays open for an answer with a length.
TEST_CASE("the witness is closed if the answer has a length")
{
    serving_fixture entry;
    scripted_target& target = entry.add_target(
        "plain",
        [](const std::string&, std::size_t number)
        {
            return number == 0
                       ? scripted_target::response{unframed_head + "whole",
                                                   end::close}
                       : scripted_target::response{
                             "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n"
                             "Content-Length: 5\r\n\r\npart",
                             end::hang};
        });
    const auto first = entry.connect();
    entry.send(*first, request_text("/once/", "r1", "Connection: close\r\n"));
    entry.run_until([&] { return first->is_ended; });
    entry.settle();
    const std::size_t closed = target.closed_by_peer();
    const auto second = entry.connect();
    entry.send(*second, request_text("/once/", "r1"));
    entry.run_until([&] { return target.requests().size() == 2; });
    entry.settle();
    CHECK(target.connections() == 3);
    CHECK(target.closed_by_peer() == closed + 1);
}

// Guards against another process at the address of a killed target that
// confirms its answer, where no witness tells them apart.
TEST_CASE("only the target itself confirms an answer on a new connection")
{
    for (const std::string& status :
         {response_text("", "up", "200 OK", "Target: other\r\n"),
          response_text("", "", "421 Misdirected"),
          response_text("", "", "408 Request Timeout")})
    {
        CAPTURE(status);
        killed_target_fixture entry("events", event(1), "", end::hang);
        for (scripted_target* target : entry.targets)
            target->set_max_connections(1);
        const auto from = entry.connect();
        entry.send(*from, request_text("/once-events/", "r1"));
        entry.run_until([&] { return !entry.requests.empty(); });
        entry.settle();
        entry.first_target->exit();
        entry.first_target->set_status({status});
        entry.first_target->restart();
        entry.settle();
        CHECK(entry.first_target->status_questions() == 1);
        CHECK(contains(from->received, "data: e1"));
        CHECK_FALSE(contains(from->received, last_chunk));
    }
}

// Guards against the same where the target is leaving and listens no more.
TEST_CASE("a living target that listens no more confirms its answer")
{
    killed_target_fixture entry("events", event(1), "", end::close);
    const auto from = entry.connect();
    entry.send(*from, request_text("/once-events/", "r1"));
    entry.run_until([&] { return entry.first_target != nullptr; });
    entry.settle();
    entry.first_target->stop_listening();
    entry.run_until(
        [&]
        {
            return entry.pass_time() &&
                   (from->is_ended || contains(from->received, last_chunk));
        });
    CHECK(contains(from->received, "data: e1"));
    CHECK(contains(from->received, last_chunk));
}

// Guards against an answer that counts as whole, or as a crash, because its
// target closed the connection and then says nothing until the deadline.
TEST_CASE("an answer is not whole if its target does not answer any more")
{
    for (const char* route : {"/once/", "/once-events/"})
    {
        const bool is_stream = route == std::string("/once-events/");
        killed_target_fixture entry(is_stream ? "events" : "plain",
                                    is_stream ? event(1) : "half", "",
                                    end::close);
        for (scripted_target* target : entry.targets)
            target->set_status({"", end::hang});
        const auto asked_at = entry.time.now();
        const std::string got = entry.ask(route);
        CHECK(entry.time.now() - asked_at < 5100ms);
        CHECK_FALSE(contains(got, last_chunk));
        CHECK(contains(got, is_stream ? " 200 " : " 504 "));
        CHECK(entry.requests.size() == 1);
        CHECK_FALSE(entry.is_crash_recorded());
    }
}

// Guards against a request that is quarantined since its targets are at their
// limits of connections.
TEST_CASE("a target without a place for the question has not crashed")
{
    killed_target_fixture entry("plain", "whole", "", end::close);
    for (scripted_target* target : entry.targets)
        target->set_max_connections(1);
    const auto from = entry.connect();
    entry.send(*from, request_text("/once/", "r1", "Connection: close\r\n"));
    entry.run_until([&] { return entry.first_target != nullptr; });
    entry.settle();
    entry.first_target->set_max_connections(0);
    entry.run_until([&] { return entry.pass_time() && from->is_ended; });
    CHECK(contains(from->received, " 504 "));
    CHECK(entry.requests.size() == 1);
    CHECK_FALSE(entry.is_crash_recorded());
}

// Guards against a caller that waits for a silent target although another one
// can answer.
TEST_CASE("another target answers if one does not confirm its answer in time")
{
    for (const char* route : {"/again/", "/events/"})
    {
        const bool is_stream = route == std::string("/events/");
        killed_target_fixture entry(is_stream ? "events" : "plain",
                                    is_stream ? event(1) : "half",
                                    is_stream ? event(2) : "whole", end::close);
        const auto asked_at = entry.time.now();
        const auto from = entry.connect();
        entry.send(*from, request_text(route, "r1", "Connection: close\r\n"));
        entry.run_until([&] { return entry.first_target != nullptr; });
        entry.first_target->set_status({"", end::hang});
        entry.run_until([&] { return entry.pass_time() && from->is_ended; });
        CHECK(entry.time.now() - asked_at < 2s);
        CHECK(contains(from->received, " 200 "));
        CHECK(from->received.ends_with(is_stream ? last_chunk : "whole"));
        CHECK(entry.requests.size() == 2);
    }
}
