#include "decision/admission/urgency.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;

TEST_CASE("the account's rank takes precedence over the route's")
{
    CHECK(urgency{0, 5} < urgency{1, 0});
    CHECK(urgency{1, 0} < urgency{1, 1});
}

// Guards against engines that serve a less urgent request first, and against
// priorities that engines don't know: ranks are not bounded.
TEST_CASE("engine priorities keep the order of urgency and stay within 0 to 9")
{
    CHECK(engine_priority({}) == 0);
    unsigned previous = 0;
    for (std::uint32_t account = 0; account < 6; ++account)
        for (std::uint32_t route = 0; route < 20; ++route)
        {
            const unsigned priority = engine_priority({account, route});
            CHECK(priority >= previous);
            CHECK(priority <= 9);
            previous = priority;
        }
    CHECK(engine_priority({0, ~0U}) < engine_priority({1, 0}));
    CHECK(engine_priority({~0U, ~0U}) == 9);
}
