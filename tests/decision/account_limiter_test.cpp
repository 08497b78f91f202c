#include "decision/account_limiter.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

/// Returns how many of the requests that come every millisecond of one
/// second may pass.
int passed_in_a_second(account_limiter& limiter, const account_rate& rate,
                       double entries)
{
    int passed = 0;
    for (int ms = 0; ms < 1000; ++ms)
    {
        const instant now{std::chrono::milliseconds(ms)};
        passed += limiter.take("desk", rate, entries, now) ? 0 : 1;
    }
    return passed;
}

} // namespace

TEST_SUITE("account limiter")
{
    TEST_CASE("all entries together keep the rate of an account")
    {
        // Two entries with no shared counter get the same account's load
        // from an even balancer. Together they must let its rate pass.
        account_limiter one;
        account_limiter other;
        const account_rate rate{100, 10};
        const int passed = passed_in_a_second(one, rate, 2) +
                           passed_in_a_second(other, rate, 2);
        CHECK(passed >= 100);
        CHECK(passed <= 112);
    }

    TEST_CASE("who is refused learns when to come back")
    {
        account_limiter limiter;
        const account_rate rate{10, 1};
        CHECK_FALSE(limiter.take("desk", rate, 1, instant{}));
        const auto wait = limiter.take("desk", rate, 1, instant{});
        REQUIRE(wait);
        CHECK(*wait <= 100ms);
        CHECK_FALSE(limiter.take("desk", rate, 1, instant{} + *wait + 1ms));
    }

    TEST_CASE("no rate sets no limit")
    {
        account_limiter limiter;
        CHECK(passed_in_a_second(limiter, {0, 0}, 1) == 1000);
        CHECK(limiter.size() == 0);
    }

    TEST_CASE("the entries are estimated from what one sidecar sees")
    {
        CHECK(estimated_entries(2, 39, 39) == doctest::Approx(2));
        CHECK(estimated_entries(64, 5600, 256) == doctest::Approx(1400));
        CHECK(estimated_entries(0, 10, 0) == doctest::Approx(1));
    }
}
