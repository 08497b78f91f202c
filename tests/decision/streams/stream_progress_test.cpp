#include "decision/streams/stream_progress.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const instant start{std::chrono::hours(1)};

} // namespace

// Guards against a stream that is given up because it has begun long ago.
TEST_CASE("the patience of a caller begins again with each event")
{
    stream_progress stream(start, start + 15s, 2s);
    CHECK(stream.next_event_by() == start + 2s);
    stream.note_event(start + 5s);
    CHECK(stream.next_event_by() == start + 7s);
    stream.note_event(start + 14s);
    CHECK(stream.next_event_by() == start + 15s);
}

// Guards against refusals that name the wrong reason.
TEST_CASE("the bound that gives up a stream is named")
{
    const auto bound_of = [](const round_terms& terms, duration passed)
    {
        return stream_progress(start, start + 15s, 2s)
            .note_failed_round(terms, start + passed)
            .bound;
    };
    CHECK(bound_of({500ms}, 1s) == stream_bound::none);
    CHECK(bound_of({500ms}, 1480ms) == stream_bound::none);
    CHECK(bound_of({500ms}, 1490ms) == stream_bound::patience);
    CHECK(bound_of({500ms}, 14900ms) == stream_bound::caller_time);
    CHECK(bound_of({500ms, start + 1s}, 1s) == stream_bound::process_end);
    CHECK(bound_of({500ms, instant::max(), false}, 0s) == stream_bound::sends);
    stream_progress unlimited(start, start + 15s, 0s);
    CHECK(unlimited.note_failed_round({500ms}, start + 14s).bound ==
          stream_bound::none);
}

// Guards against rounds without pause, and against streams that are given up
// although another round would bring an event in time.
TEST_CASE("a stream has rounds as long as they can bring an event in time")
{
    rc::check(
        [](std::uint16_t patience_ms, std::uint16_t least_ms,
           std::uint16_t round_ms)
        {
            const duration patience = std::chrono::milliseconds(patience_ms);
            const duration least = std::chrono::milliseconds(least_ms);
            stream_progress stream(start, start + 60s, patience);
            instant now = start;
            std::uint32_t rounds = 0;
            for (;;)
            {
                now += std::chrono::milliseconds(round_ms);
                const next_round next = stream.note_failed_round({least}, now);
                if (next.bound != stream_bound::none)
                    break;
                RC_ASSERT(next.pause >= 20ms);
                now += next.pause;
                RC_ASSERT(now + least <= stream.next_event_by());
                RC_ASSERT(++rounds < 400);
            }
            RC_ASSERT(now + least + 200ms >= stream.next_event_by());
        });
}

// Guards against streams that wait longer than needed: one engine has crashed,
// and others serve.
TEST_CASE("a round to another target starts at once")
{
    stream_progress stream(start, start + 15s, 2s);
    round_terms terms{500ms};
    terms.has_other_target = true;
    CHECK(stream.note_failed_round(terms, start) == next_round{});
    terms.has_other_target = false;
    CHECK(stream.note_failed_round(terms, start).pause > 0ms);
}
