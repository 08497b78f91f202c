#include "entry/request.hpp"

#include <doctest/doctest.h>

using namespace mangofold::entry;

TEST_SUITE("client request")
{
    TEST_CASE("all members are parsed")
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

    TEST_CASE("invalid requests throw request_error")
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

    TEST_CASE("the digest tells a resend from a different request")
    {
        request first;
        first.pipeline = "redeem";
        first.input = "{\"code\":1}";
        request other = first;
        CHECK(content_digest(first) == content_digest(other));
        other.input = "{\"code\":2}";
        CHECK(content_digest(first) != content_digest(other));
    }
}
