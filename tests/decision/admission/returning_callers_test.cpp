#include "decision/admission/returning_callers.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

TEST_CASE("callers with less than nine tenths of the largest time return")
{
    returning_callers callers;
    CHECK(callers.note(6s) == 0s);
    CHECK(callers.note(5500ms) == 0s);
    // The largest time has decayed a little.
    CHECK(callers.note(5s) > 800ms);
    CHECK(callers.note(4s) < 2s);
}

// Guards against callers that all count as returning for good, because one
// caller once allowed a much longer time.
TEST_CASE("a longer time is forgotten")
{
    returning_callers callers;
    callers.note(60s);
    CHECK(callers.note(6s) > 50s);
    for (int request = 0; request < 300; ++request)
        callers.note(6s);
    CHECK(callers.note(6s) == 0s);
}

// Guards against callers that return at once and are refused a second time.
TEST_CASE("callers that return at once are recognized, also among many")
{
    returning_callers callers;
    CHECK_FALSE(callers.has_returned(6s));
    callers.note(6s);
    for (int caller = 0; caller < 20; ++caller)
    {
        callers.note(5950ms);
        CHECK(callers.has_returned(5950ms));
    }
    CHECK_FALSE(callers.has_returned(5990ms));
}
