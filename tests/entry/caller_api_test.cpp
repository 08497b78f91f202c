#include "entry/request.hpp"

#include <doctest/doctest.h>

using namespace mangofold::entry;

TEST_SUITE("caller's request")
{
    TEST_CASE("is read whole")
    {
        const request value = parse_request(
            R"({"pipeline":"chat","account":"desk","request_id":"r1",
                "deadline_ms":500,"input":{"a":[1]},
                "ticket":"redeem booking-1 11 7"})");
        CHECK(value.pipeline == "chat");
        CHECK(value.deadline == std::chrono::milliseconds(500));
        CHECK(value.input == R"({"a":[1]})");
        REQUIRE(value.tickets.size() == 1);
        CHECK(value.tickets[0].value.target == "booking-1");
        CHECK(to_text(value.tickets) == "redeem booking-1 11 7");
    }

    TEST_CASE("bad ones get an error that names the member")
    {
        for (const char* body :
             {"", "[]", "{", R"({"account":"desk"})", R"({"pipeline":1})",
              R"({"pipeline":"chat","account":""})",
              R"({"pipeline":"chat","account":"a","deadline_ms":0})",
              R"({"pipeline":"chat","account":"a","deadline_ms":-5})",
              R"({"pipeline":"chat","account":"a","deadline_ms":999999999})",
              R"({"pipeline":"chat","account":"a","request_id":"a\nb"})",
              R"({"pipeline":"chat","account":"a","ticket":"nonsense"})"})
            CHECK_THROWS_AS(parse_request(body), request_error);
    }

    TEST_CASE("its digest tells a resend from another request")
    {
        request one;
        one.pipeline = "redeem";
        one.input = "{\"code\":1}";
        request other = one;
        CHECK(content_digest(one) == content_digest(other));
        other.input = "{\"code\":2}";
        CHECK(content_digest(one) != content_digest(other));
    }
}
