#include "decision/later_work.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const instant start{1h};

} // namespace

TEST_CASE("nothing is known to wait at a service of which nobody spoke")
{
    const later_work later;
    CHECK(later.wait_at("rerank", start, 0ms, false) == 0ms);
    CHECK(later.call_at("rerank", 200ms) == 200ms);
}

TEST_CASE("a wait gets shorter with age, and until the piece arrives")
{
    later_work later;
    later.note_wait("rerank", {500ms, 500ms, 300ms}, start);
    CHECK(later.call_at("rerank", 200ms) == 300ms);
    CHECK(later.wait_at("rerank", start + 100ms, 0ms, false) == 400ms);
    CHECK(later.wait_at("rerank", start + 100ms, 300ms, false) == 100ms);
    CHECK(later.wait_at("rerank", start + 600ms, 300ms, false) == 0ms);
}

// All of a burst begins, and waits at the second stage with its results.
// 1. The first stage takes many requests at once. 2. The second one says that
// nothing waits there, since nothing has arrived yet. 3. So more begin.
TEST_CASE("what was begun counts at the next stage before it is there")
{
    later_work later;
    later.note_wait("rerank", {0ms, 0ms, 300ms}, start);
    for (int one = 0; one < 100; ++one)
        later.note_begun({"rerank", 6}, 1ms, start, 300ms, false);
    CHECK(later.wait_at("rerank", start, 300ms, false) == 300ms);
    // It is the second stage itself that speaks of what has arrived.
    later.note_wait("rerank", {600ms, 600ms, 300ms}, start + 300ms);
    CHECK(later.wait_at("rerank", start + 300ms, 300ms, false) == 300ms);
}

// After a burst new requests come late although there is time for them.
// 1. A later stage works off what the burst left, which will be late. 2. It
// says how long that takes. 3. New requests count that wait, although they
// would go first there, and so count as late themselves.
TEST_CASE("what can be in time does not wait for what will be late")
{
    later_work later;
    later.note_wait("rerank", {50ms, 900ms, 300ms}, start);
    later.note_begun({"rerank", 10}, 10ms, start, 10ms, true);
    CHECK(later.wait_at("rerank", start, 20ms, false) == 30ms);
    CHECK(later.wait_at("rerank", start, 20ms, true) == 980ms);
}
