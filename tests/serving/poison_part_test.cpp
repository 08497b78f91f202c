#include "support/crashing_targets.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;
using namespace std::chrono_literals;

namespace
{

/// Five targets may crash before a part must be known as their cause, and three
/// more requests with it may reach a target after that.
constexpr std::size_t max_crashes = 8;

std::string prompt(const std::string& parts)
{
    return "Prompt: " + parts + "\r\n";
}

/// Sends different requests with the part "bad" to \a route, and a sound
/// one that shares their other parts after each. Returns the last answer to a
/// bad one.
std::string ask_with_bad_part(crashing_targets& entry, const std::string& route,
                              int rounds)
{
    std::string last;
    for (int round = 0; round < rounds; ++round)
    {
        CAPTURE(round);
        const std::string number = std::to_string(round);
        const std::string shared = "system topic" + std::to_string(round % 3);
        last = entry.ask_again(route + number,
                               prompt(shared + " bad own" + number));
        const std::string sound = entry.ask_again(
            route + "sound" + number, prompt(shared + " fine own" + number));
        CHECK(contains(sound, " 200 "));
    }
    return last;
}

} // namespace

// Guards against different requests that share a part of their prompts and
// crash one target after the other: each counted as the first of its kind, and
// 36 engines of a service ended within fifteen seconds.
TEST_CASE("a part of prompts that crashes targets is kept from targets")
{
    crashing_targets entry("events", "bad");
    const std::string last = ask_with_bad_part(entry, "/once-events/", 20);
    CHECK(entry.crashes <= max_crashes);
    CHECK(contains(last, " 503 "));
    CHECK(contains(last, "Retry-After: "));
}

// Guards against a part whose targets crash 5 ms after the head of the answer,
// whatever the head and the end of the answer look like. Where the entry gave
// up such an answer by itself, no crash was recorded, and all targets crashed.
TEST_CASE("a part whose targets crash after the head is kept from targets")
{
    const std::string head = "HTTP/1.1 200 OK\r\n"
                             "Content-Type: text/event-stream\r\n";
    const std::string sealed = head + "Seal: s\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    for (const std::string& begun :
         {sealed, sealed + chunked, sealed + chunked + "\r\n0\r\n", head,
          head + chunked, sealed + chunked + "Content-Encoding: gzip\r\n"})
        for (const end crash_by : {end::reset, end::close})
        {
            // Streams of the second route are sent on to another target.
            const std::string route =
                crash_by == end::reset ? "/once-events/" : "/events/";
            CAPTURE(begun);
            CAPTURE(route);
            crashing_targets entry("events", "bad");
            entry.sent_before_crash = begun + "\r\n";
            entry.crash_by = crash_by;
            const std::string last = ask_with_bad_part(entry, route, 10);
            CHECK(entry.crashes <= max_crashes);
            CHECK(contains(last, " 503 "));
        }
}

// Guards against taking targets for crashed that send whole answers without a
// seal, for example after a release: their parts would be refused.
TEST_CASE("whole answers that are given up are no crashes")
{
    const std::string head = "HTTP/1.1 200 OK\r\n"
                             "Content-Type: text/event-stream\r\n";
    const std::string event = "id: 1\ndata: e\n\n";
    for (const std::string& whole :
         {head + "\r\n" + event, head + "Content-Length: 15\r\n\r\n" + event,
          head + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + event +
              "\r\n0\r\n\r\n"})
    {
        CAPTURE(whole);
        crashing_targets entry("events", "unsealed");
        entry.sent_before_crash = whole;
        entry.crash_by = end::close;
        for (int round = 0; round < 5; ++round)
        {
            entry.ask_again("/once-events/unsealed" + std::to_string(round),
                            prompt("system own"));
            entry.time.advance(2s);
            entry.settle();
        }
        CHECK(entry.crashes == 5);
        CHECK(entry.context->quarantine.crashes().is_empty());
    }
}
