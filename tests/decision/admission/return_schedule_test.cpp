#include "decision/admission/return_schedule.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace mangofold::decision;
using namespace std::chrono_literals;

TEST_CASE("a rejected caller returns once the work before it is done")
{
    CHECK(return_delay({500ms, 1, 200ms, 6s, {}}) == 500ms);
    CHECK(return_delay({500ms, 0.5, 200ms, 6s, {}}) == 1s);
}

// Guards against callers that ignore the delay, or have too little time left
// after it.
TEST_CASE("the delay is between a call's time and 0.3 of the time left")
{
    CHECK(return_delay({0ms, 1, 200ms, 6s, {}}) == 200ms);
    CHECK(return_delay({9s, 0.05, 200ms, 6s, {}}) == 1800ms);
    CHECK(return_delay({9s, 1, 200ms, 100ms, {}}) == 30ms);
    CHECK(return_delay({9s, 1, 200ms, -1s, {}}) == 0ms);
}

// Guards against a second burst of all requests that were rejected in the
// first. The delay of one request does not change when it is rejected again.
TEST_CASE("callers that are rejected together return at different times")
{
    std::set<duration> delays;
    for (int request = 0; request < 100; ++request)
    {
        const digest content = digest_of("request " + std::to_string(request));
        const return_terms terms{1s, 1, 200ms, 6s, content};
        const duration delay = return_delay(terms);
        CHECK(delay == return_delay(terms));
        CHECK(delay >= 800ms);
        CHECK(delay <= 1s);
        delays.insert(delay);
    }
    CHECK(delays.size() > 80);
}
