#include "platform/request_dialect.hpp"
#include "serving/event_stream.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace mangofold;

// Guards against a reset of the caller's connection and a leak of a slot at a
// target. A target sent a malformed idle timeout, and the parse error ended
// everything that waited for the response.
TEST_CASE("a response with an unreadable idle timeout is valid")
{
    const platform::request_dialect dialect;
    serving::http_response answer{serving::http::status::ok, 11};
    answer.set("X-Mangofold-Response-Seal", "s");
    for (const char* value : {"timeout=", "timeout=x", "timeout=-1",
                              "timeout=99999999999999999999", "\xff"})
    {
        answer.set("Keep-Alive", value);
        const auto metadata = dialect.parse_response(answer.base());
        CHECK(metadata.is_signed);
        CHECK_FALSE(metadata.keep_alive_timeout);
    }
}

// Guards against a target that gets no requests, or unlimited ones, because its
// limit cannot be parsed.
TEST_CASE("an unreadable limit of a target is neither a limit nor its end")
{
    const platform::request_dialect dialect;
    serving::http_response answer{serving::http::status::ok, 11};
    const std::string too_long(400, '9');
    for (const char* value :
         {"", "x", "-1", "+1", "1e3", "inf", "nan", "0x10", "1,5", "1 2",
          "1.2.3", ".", "\xff", too_long.c_str()})
    {
        CAPTURE(value);
        answer.set("Server-Limit", value);
        const auto metadata = dialect.parse_response(answer.base());
        CHECK_FALSE(metadata.request_limit);
        CHECK(metadata.is_limit_unreadable);
    }
}

// Guards against a target that gets no requests, or an error that ends what
// waits for its response, because the rest it asks for cannot be parsed.
TEST_CASE("an unreadable rest of a target is no rest")
{
    const platform::request_dialect dialect;
    serving::http_response answer{serving::http::status::service_unavailable,
                                  11};
    for (const char* value :
         {"", "soon", "-1", "1e9", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"})
    {
        CAPTURE(value);
        answer.set("Retry-After", value);
        const auto metadata = dialect.parse_response(answer.base());
        CHECK_FALSE(metadata.rest);
        CHECK(metadata.is_rest_unreadable);
    }
    answer.set("Retry-After", "99999999999999999999999");
    CHECK(dialect.parse_response(answer.base()).rest == std::chrono::hours(24));
}

TEST_CASE("the load that a target states is parsed")
{
    const platform::request_dialect dialect;
    serving::http_response answer{serving::http::status::ok, 11};
    CHECK_FALSE(dialect.parse_response(answer.base()).load);
    CHECK_FALSE(dialect.parse_response(answer.base()).is_load_unreadable);
    using report = decision::target_load_report;
    answer.set("X-Mangofold-Server-Load", "3,0,8");
    CHECK(dialect.parse_response(answer.base()).load == report{3, 0, 8, {}});
    answer.set("X-Mangofold-Server-Load", " 3 , 1, 8,250 ");
    CHECK(dialect.parse_response(answer.base()).load == report{3, 1, 8, 2.5});
}

// Guards against a target that gets no work, or an error that ends what waits
// for its response, because it states a load that no target can have.
TEST_CASE("an unreadable or absurd load of a target is no load")
{
    const platform::request_dialect dialect;
    serving::http_response answer{serving::http::status::ok, 11};
    const std::string too_long(400, '9');
    for (const char* value : {"",
                              "x",
                              "1",
                              "1,2",
                              "1,2,",
                              "1,2,3,",
                              "1,2,3,4,5",
                              "1,2,3,nan",
                              "-1,0,4",
                              "1,-1,4",
                              "1,0,-4",
                              "1,0,0",
                              "10001,0,4",
                              "1,10001,4",
                              "1,0,10001",
                              "1,0,4,9",
                              "1,0,4,2001",
                              "1,0,4,-100",
                              "1,0,4,1e2",
                              "1,0,4,inf",
                              "1.5,0,4",
                              "1 1,0,4",
                              "99999999999,0,4",
                              "\xff,0,4",
                              too_long.c_str()})
    {
        CAPTURE(value);
        answer.set("X-Mangofold-Server-Load", value);
        const auto metadata = dialect.parse_response(answer.base());
        CHECK_FALSE(metadata.load);
        CHECK(metadata.is_load_unreadable);
    }
}

// Guards against events that are lost, joined or held back because of where the
// bytes of a stream were split on their way.
TEST_CASE("any bytes in any parts make the same events")
{
    const auto bytes = rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("\n\n\r:ad ")));
    CHECK(rc::check(
        [&]
        {
            const auto parts =
                *rc::gen::container<std::vector<std::string>>(bytes);
            serving::event_stream split;
            serving::event_stream whole;
            std::string all;
            std::string events;
            for (const std::string& part : parts)
            {
                all += part;
                events += split.add(part);
            }
            RC_ASSERT(events == whole.add(all));
            RC_ASSERT(split.is_between_events() == (events == all));
            RC_ASSERT(whole.is_between_events() == (events == all));
        }));
}

// Guards against an event without end that is stored, in whatever parts it
// arrives.
TEST_CASE("an event that is too long is noticed in any parts")
{
    CHECK(rc::check(
        []
        {
            const auto size = *rc::gen::inRange<std::size_t>(1, 8192);
            constexpr auto max = serving::event_stream::max_event_bytes;
            serving::event_stream stream;
            std::size_t added = 0;
            while (!stream.is_too_long() && added <= 2 * max)
            {
                RC_ASSERT(stream.add(std::string(size, 'a')).empty());
                added += size;
            }
            RC_ASSERT(added > max && added <= max + size);
        }));
}
