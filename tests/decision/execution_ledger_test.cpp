#include "decision/execution_ledger.hpp"
#include "decision/recent_requests.hpp"

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
    TEST_CASE("drops outcomes older than the horizon but keeps their keys")
    {
        execution_ledger ledger({10s, 10, 1024});
        ledger.add(key, {}, instant{});
        ledger.set_outcome(key, outcome, instant{});
        CHECK(ledger.body_bytes() == 4);
        ledger.drop_expired_outcomes(instant{10s});
        REQUIRE(ledger.find(key) != nullptr);
        CHECK(ledger.find(key)->status == execution_ledger::state::forgotten);
        CHECK(ledger.body_bytes() == 0);
    }

    TEST_CASE("evicts a key only if the ledger is full and the key is old")
    {
        execution_ledger ledger({10s, 1, 1024});
        ledger.add(key, {}, instant{});
        CHECK_FALSE(ledger.make_room(instant{1h}));
        ledger.set_outcome(key, outcome, instant{1s});
        CHECK_FALSE(ledger.make_room(instant{10s}));
        CHECK(ledger.make_room(instant{21s}));
        CHECK(ledger.find(key) == nullptr);
    }

    TEST_CASE("is full when outcomes reach the byte limit")
    {
        execution_ledger ledger({10s, 10, 4});
        ledger.add(key, {}, instant{});
        ledger.set_outcome(key, outcome, instant{});
        CHECK_FALSE(ledger.make_room(instant{1s}));
        CHECK(ledger.make_room(instant{10s}));
    }
}

TEST_SUITE("recent requests")
{
    TEST_CASE("a refused resend of a started request may have run")
    {
        // The first send runs in part, then the caller resends. The
        // resend is refused for lack of time, but must not be reported as
        // "not run", because stages of the request ran.
        recent_requests recent(2);
        recent.note(key, instant{}, 10s);
        CHECK(recent.may_have_started(key, instant{9s}));
        CHECK_FALSE(recent.may_have_started(digest_of("r2"), instant{9s}));
        CHECK_FALSE(recent.may_have_started(key, instant{10s}));
    }

    TEST_CASE("an early dropped request counts as started")
    {
        recent_requests recent(1);
        recent.note(key, instant{}, 10s);
        recent.note(digest_of("r2"), instant{1s}, 10s);
        CHECK(recent.size() == 1);
        CHECK(recent.may_have_started(key, instant{2s}));
        CHECK_FALSE(recent.may_have_started(key, instant{11s}));
    }
}
