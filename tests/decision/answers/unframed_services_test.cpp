#include "decision/answers/unframed_services.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

TEST_CASE("a service is known for an answer that ended with its connection")
{
    unframed_services services;
    services.note_answer("a", answer_framing::chunks, instant(1s));
    services.note_answer("b", answer_framing::length, instant(1s));
    services.note_answer("c", answer_framing::connection, instant(1s));
    CHECK_FALSE(services.may_be_unframed("a", instant(1s)));
    CHECK_FALSE(services.may_be_unframed("b", instant(1s)));
    CHECK(services.may_be_unframed("c", instant(1s)));
    services.note_answer("c", answer_framing::length, instant(2s));
    CHECK(services.may_be_unframed("c", instant(10min)));
    CHECK_FALSE(services.may_be_unframed("c", instant(1s) + 10min));
}
