#include "decision/execution_ledger.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const digest key = digest_of("r1");
const stage_result outcome{
    stage_status::done, reason::none, "body", {}, {}, false};

} // namespace

TEST_SUITE("execution ledger")
{
    TEST_CASE("forgets the outcome after the horizon, not that it ran")
    {
        execution_ledger ledger({10s, 10, 1024});
        ledger.open(key, {}, instant{});
        ledger.end(key, outcome, instant{});
        CHECK(ledger.body_bytes() == 4);
        ledger.drop_old_outcomes(instant{10s});
        REQUIRE(ledger.find(key) != nullptr);
        CHECK(ledger.find(key)->status == execution_ledger::state::forgotten);
        CHECK(ledger.body_bytes() == 0);
    }

    TEST_CASE("drops a key only where it is full and the key is old")
    {
        execution_ledger ledger({10s, 1, 1024});
        ledger.open(key, {}, instant{});
        CHECK_FALSE(ledger.has_room(instant{1h}));
        ledger.end(key, outcome, instant{1s});
        CHECK_FALSE(ledger.has_room(instant{10s}));
        CHECK(ledger.has_room(instant{21s}));
        CHECK(ledger.find(key) == nullptr);
    }

    TEST_CASE("is full when its outcomes take the bytes they may take")
    {
        execution_ledger ledger({10s, 10, 4});
        ledger.open(key, {}, instant{});
        ledger.end(key, outcome, instant{});
        CHECK_FALSE(ledger.has_room(instant{1s}));
        CHECK(ledger.has_room(instant{10s}));
    }
}
