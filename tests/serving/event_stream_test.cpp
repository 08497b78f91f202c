#include "serving/event_stream.hpp"

#include <doctest/doctest.h>

using mangofold::serving::event_stream;

TEST_CASE("only whole events come out")
{
    event_stream events;
    CHECK(events.add("id: 1\ndata: a\n").empty());
    CHECK_FALSE(events.is_between_events());
    CHECK(events.add("\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(events.add("ta: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(events.is_between_events());
    CHECK(events.last() == 2);
}

// A caller's stream misses an event, or shows one twice.
// 1. A target stops in the middle of its stream. 2. Another one goes on.
// 3. It begins at the wrong event.
TEST_CASE("a stream that goes on at the wrong event is noticed")
{
    event_stream again(4);
    CHECK(again.add("id: 4\ndata: d\n\n").empty());
    CHECK(again.is_out_of_order());
    event_stream missing(4);
    missing.add("id: 6\ndata: f\n\n");
    CHECK(missing.is_out_of_order());
    event_stream right(4);
    CHECK_FALSE(right.add("id: 5\ndata: e\n\n").empty());
    CHECK_FALSE(right.is_out_of_order());
}

TEST_CASE("lines may end with carriage returns, and precede the number")
{
    event_stream events;
    const std::string event = "version: 3\r\nid: 7\r\ndata: x\r\n\r\n";
    CHECK(events.add(event) == event);
    CHECK(events.last() == 7);
}
