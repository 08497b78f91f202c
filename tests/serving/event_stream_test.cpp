#include "serving/event_stream.hpp"

#include <doctest/doctest.h>

using mangofold::serving::event_stream;

TEST_CASE("only complete events are passed on")
{
    event_stream events;
    CHECK(events.add("id: 1\ndata: a\n").empty());
    CHECK_FALSE(events.is_between_events());
    CHECK(events.add("\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(events.add("ta: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(events.is_between_events());
    CHECK(events.last_id() == 2);
}

// Guards against a caller's stream that misses an event or repeats one: a
// target breaks off its stream, and the target that resumes the stream starts
// at the wrong event.
TEST_CASE("a stream that resumes at the wrong event is detected")
{
    event_stream repeated(4);
    CHECK(repeated.add("id: 4\ndata: d\n\n").empty());
    CHECK(repeated.is_out_of_order());
    event_stream missing(4);
    missing.add("id: 6\ndata: f\n\n");
    CHECK(missing.is_out_of_order());
    event_stream next(4);
    CHECK_FALSE(next.add("id: 5\ndata: e\n\n").empty());
    CHECK_FALSE(next.is_out_of_order());
}

TEST_CASE("lines may end with CRLF, and other fields may precede the id")
{
    event_stream events;
    const std::string event = "version: 3\r\nid: 7\r\ndata: x\r\n\r\n";
    CHECK(events.add(event) == event);
    CHECK(events.last_id() == 7);
}
