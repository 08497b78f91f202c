#include "decision/stages/downstream_backlog.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const instant start{1h};

} // namespace

TEST_CASE("a service that reported nothing has no wait time")
{
    const downstream_backlog backlog;
    CHECK(backlog.expected_wait("rerank", start, 0ms, false) == 0ms);
    CHECK(backlog.call_time("rerank", 200ms) == 200ms);
}

TEST_CASE("a reported wait time decreases until the piece arrives")
{
    downstream_backlog backlog;
    backlog.note_wait_times("rerank", {500ms, 500ms, 300ms}, start);
    CHECK(backlog.call_time("rerank", 200ms) == 300ms);
    CHECK(backlog.expected_wait("rerank", start + 100ms, 0ms, false) == 400ms);
    CHECK(backlog.expected_wait("rerank", start + 100ms, 300ms, false) ==
          100ms);
    CHECK(backlog.expected_wait("rerank", start + 600ms, 300ms, false) == 0ms);
}

// Guards against a burst of requests that all start and then wait at the second
// stage, where their results occupy memory: the first stage takes many requests
// at once, the second stage reports no backlog because nothing has arrived yet,
// and so more requests start.
TEST_CASE("started work counts at the next stage before it arrives")
{
    downstream_backlog backlog;
    backlog.note_wait_times("rerank", {0ms, 0ms, 300ms}, start);
    for (int request = 0; request < 100; ++request)
        backlog.note_started({"rerank", 6}, 1ms, start, 300ms, false);
    CHECK(backlog.expected_wait("rerank", start, 300ms, false) == 300ms);
    // The second stage itself reports the work that has arrived.
    backlog.note_wait_times("rerank", {600ms, 600ms, 300ms}, start + 300ms);
    CHECK(backlog.expected_wait("rerank", start + 300ms, 300ms, false) ==
          300ms);
}

// Guards against new requests that end late after a burst although there is
// time for them: a downstream stage works off the late requests of the burst
// and reports the time that takes. New requests would go ahead of them there,
// but count the whole wait and are taken for late themselves.
TEST_CASE("work that can be on time does not wait for late work")
{
    downstream_backlog backlog;
    backlog.note_wait_times("rerank", {50ms, 900ms, 300ms}, start);
    backlog.note_started({"rerank", 10}, 10ms, start, 10ms, true);
    CHECK(backlog.expected_wait("rerank", start, 20ms, false) == 30ms);
    CHECK(backlog.expected_wait("rerank", start, 20ms, true) == 980ms);
}

TEST_CASE("the reported time per piece replaces the declared one")
{
    downstream_backlog backlog;
    CHECK(backlog.time_per_piece("rerank", 5ms) == 5ms);
    // An entry of an older version reports none.
    backlog.note_wait_times("rerank", {50ms, 50ms, 300ms}, start);
    CHECK(backlog.time_per_piece("rerank", 5ms) == 5ms);
    backlog.note_wait_times("rerank", {50ms, 50ms, 300ms, 7ms}, start);
    CHECK(backlog.time_per_piece("rerank", 5ms) == 7ms);
    backlog.note_wait_times("rerank", {50ms, 50ms, 300ms, -7ms}, start);
    CHECK(backlog.time_per_piece("rerank", 5ms) == 5ms);
}

// Guards against requests that are started without slack and end a little late:
// a tenth of a second of the work that was started had reached the next stage
// after its last report, and counted nowhere.
TEST_CASE("work that has arrived since the last report still counts")
{
    downstream_backlog backlog;
    backlog.note_wait_times("rerank", {200ms, 200ms, 300ms}, start);
    backlog.note_started({"rerank", 10}, 10ms, start, 50ms, false);
    CHECK(backlog.expected_wait("rerank", start + 90ms, 0ms, false) == 210ms);
    CHECK(backlog.work_ahead("rerank", start + 90ms, false) == 210ms);
    // The next report includes it.
    backlog.note_wait_times("rerank", {200ms, 200ms, 300ms}, start + 100ms);
    CHECK(backlog.work_ahead("rerank", start + 100ms, false) == 200ms);
}
