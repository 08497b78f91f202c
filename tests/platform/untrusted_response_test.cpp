#include "platform/request_dialect.hpp"

#include <doctest/doctest.h>

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
