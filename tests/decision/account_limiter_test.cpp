#include "decision/account_limiter.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

/// Returns the number of admitted requests of one second, with a request each
/// millisecond.
int admitted_in_one_second(account_limiter& limiter, const account_rate& rate,
                           double entries)
{
    int admitted = 0;
    for (int ms = 0; ms < 1000; ++ms)
    {
        const instant now{std::chrono::milliseconds(ms)};
        admitted += limiter.throttle("desk", rate, entries, now) ? 0 : 1;
    }
    return admitted;
}

} // namespace

TEST_SUITE("account limiter")
{
    TEST_CASE("all entries together enforce the rate of an account")
    {
        // Two entries without a shared counter each get half the requests of an
        // account. Together they must admit the account's rate.
        account_limiter first_entry;
        account_limiter second_entry;
        const account_rate rate{100, 10};
        const int admitted = admitted_in_one_second(first_entry, rate, 2) +
                             admitted_in_one_second(second_entry, rate, 2);
        CHECK(admitted >= 100);
        CHECK(admitted <= 112);
    }

    TEST_CASE("a refusal tells when the next request is admitted")
    {
        account_limiter limiter;
        const account_rate rate{10, 1};
        CHECK_FALSE(limiter.throttle("desk", rate, 1, instant{}));
        const auto wait = limiter.throttle("desk", rate, 1, instant{});
        REQUIRE(wait);
        CHECK(*wait <= 100ms);
        CHECK_FALSE(limiter.throttle("desk", rate, 1, instant{} + *wait + 1ms));
    }

    TEST_CASE("a rate of zero sets no limit")
    {
        account_limiter limiter;
        CHECK(admitted_in_one_second(limiter, {0, 0}, 1) == 1000);
        CHECK(limiter.size() == 0);
    }

    TEST_CASE("the number of entries is estimated from the links of a sidecar")
    {
        CHECK(estimated_entry_count(2, 39, 39) == doctest::Approx(2));
        CHECK(estimated_entry_count(64, 5600, 256) == doctest::Approx(1400));
        CHECK(estimated_entry_count(0, 10, 0) == doctest::Approx(1));
    }
}
