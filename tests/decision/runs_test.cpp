#include "decision/generation_gate.hpp"
#include "decision/latency_quantile.hpp"
#include "decision/owned_run.hpp"
#include "decision/repeatable_run.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr instant end{4s};
constexpr duration no_timeout = 1h;

const stage_result good{stage_status::done, reason::none, "1", {}, {}, false};
const stage_result bad{
    stage_status::failed, reason::target_failed, {}, {}, {}, false};

/// Sends the next attempt to \a target and returns its number.
std::uint32_t send_to(repeatable_run& run, retry_budget& budget,
                      const std::string& target, instant now,
                      duration timeout = no_timeout)
{
    const auto step = run.next(now, budget, timeout);
    REQUIRE(std::holds_alternative<send_attempt>(step));
    run.sent(target, now);
    return std::get<send_attempt>(step).attempt;
}

stage_result result_of(const attempt_step& step)
{
    REQUIRE(std::holds_alternative<finish_stage>(step));
    return std::get<finish_stage>(step).result;
}

} // namespace

TEST_SUITE("repeatable run")
{
    TEST_CASE("a late answer of an older attempt is dropped")
    {
        // The first attempt falls silent and is given up; the second goes to
        // another target. Then the first one answers after all.
        repeatable_run run({}, end, 1);
        retry_budget budget(0.1, 20);
        const auto first = send_to(run, budget, "a", instant{});
        const auto second = send_to(run, budget, "b", instant{1s}, 500ms);
        CHECK(second == first + 1);
        CHECK_FALSE(run.ended(first, good, instant{1s}));
        CHECK(run.ended(second, good, instant{1s}));
        CHECK(result_of(run.next(instant{1s}, budget, no_timeout)) == good);
    }

    TEST_CASE("a failing stage is given up at once when the budget is spent")
    {
        // Every target fails. Retries would multiply the load; the caller
        // gets the final answer now, long before its deadline.
        repeatable_run run({}, end, 1);
        retry_budget budget(0.1, 0.5);
        const auto first = send_to(run, budget, "a", instant{});
        run.ended(first, bad, instant{});
        const auto result = result_of(run.next(instant{1s}, budget, 1h));
        CHECK(result.status == stage_status::failed);
        CHECK(result.cause == reason::retry_budget_spent);
    }

    TEST_CASE("refusals alone end as refused, with the time to come back")
    {
        repeatable_run run({}, end, 1);
        retry_budget budget(0.1, 20);
        for (const char* target : {"a", "b"})
        {
            const auto attempt = send_to(run, budget, target, instant{});
            run.ended(attempt, refused(reason::queue_full, 300ms), instant{});
        }
        const auto result = result_of(run.next(instant{}, budget, no_timeout));
        CHECK(result.status == stage_status::refused);
        CHECK(result.retry_after == 300ms);
        CHECK_FALSE(run.may_have_run());
    }

    TEST_CASE("a refusal after a failure is not called refused")
    {
        repeatable_run run({}, end, 1);
        retry_budget budget(0.1, 20);
        run.ended(send_to(run, budget, "a", instant{}), bad, instant{});
        for (const char* target : {"b", "c"})
            run.ended(send_to(run, budget, target, instant{1s}),
                      refused(reason::queue_full), instant{1s});
        CHECK(result_of(run.next(instant{1s}, budget, no_timeout)).status ==
              stage_status::failed);
    }
}

TEST_SUITE("owned run")
{
    TEST_CASE("a lost stream leads back to the same process only")
    {
        // The stream breaks while the redemption is under way. Any other
        // target, or a later process of this one, could run it again.
        owned_run run({}, end, {"a", "b"});
        run.next(instant{});
        run.sent(11);
        run.link_lost(1, instant{});
        const auto step = run.next(instant{100ms});
        REQUIRE(std::holds_alternative<send_attempt>(step));
        CHECK(std::get<send_attempt>(step).target == "a");
        CHECK(std::get<send_attempt>(step).pinned_incarnation == 11);
    }

    TEST_CASE("silence until the deadline is unknown, never not run")
    {
        owned_run run({}, end, {"a", "b"});
        run.next(instant{});
        run.sent(11);
        const auto result = result_of(run.next(end));
        CHECK(result.status == stage_status::unknown);
    }

    TEST_CASE("only the owner's own word leads to the next owner")
    {
        owned_run run({}, end, {"a", "b"});
        run.next(instant{});
        run.sent(11);
        run.ended(1, refused(reason::target_leaving), instant{});
        const auto step = run.next(instant{});
        REQUIRE(std::holds_alternative<send_attempt>(step));
        CHECK(std::get<send_attempt>(step).target == "b");
        CHECK(std::get<send_attempt>(step).renounced_by ==
              std::vector<std::string>{"a"});
        CHECK(std::get<send_attempt>(step).pinned_incarnation == 0);
    }

    TEST_CASE("nothing sent is refused, not unknown")
    {
        owned_run run({}, end, {"a"});
        for (int turn = 0; turn < 12; ++turn)
        {
            run.next(instant{std::chrono::milliseconds(20 * turn)});
            run.not_sent(instant{std::chrono::milliseconds(20 * turn)});
        }
        CHECK(result_of(run.next(instant{1s})).status == stage_status::refused);
    }
}

TEST_SUITE("generation gate")
{
    TEST_CASE("an older manifest is never taken, from whatever source")
    {
        using verdict = generation_gate::verdict;
        generation_gate gate;
        gate.set_current(5, digest_of("five"));
        CHECK(gate.evaluate(4, digest_of("four")) == verdict::older);
        CHECK(gate.evaluate(5, digest_of("five")) == verdict::known);
        CHECK(gate.evaluate(5, digest_of("other")) == verdict::conflict);
        CHECK(gate.evaluate(6, digest_of("six")) == verdict::adopt);
        CHECK(gate.add_rejected(digest_of("seven")));
        CHECK(gate.evaluate(7, digest_of("seven")) == verdict::refused);
    }
}

TEST_SUITE("attempt timeout")
{
    TEST_CASE("leaves time for another attempt where two fit")
    {
        CHECK(attempt_timeout(0ms, 2s) == 2s);
        CHECK(attempt_timeout(100ms, 2s) == 300ms);
        CHECK(attempt_timeout(100ms, 250ms) == 150ms);
        CHECK(attempt_timeout(100ms, 150ms) == 150ms);
    }

    TEST_CASE("a silent attempt is kept where no retry is left")
    {
        // Every target is slow at once. Giving attempts up without the
        // budget for others would only throw work away.
        repeatable_run run({}, end, 1);
        retry_budget budget(0.1, 0.5);
        send_to(run, budget, "a", instant{});
        const auto step = run.next(instant{1s}, budget, 100ms);
        REQUIRE(std::holds_alternative<wait_until>(step));
        CHECK(run.ended(1, good, instant{2s}));
    }

    TEST_CASE("the quantile follows what is recent")
    {
        latency_quantile known;
        CHECK(known.value(0.99) == 0ms);
        for (int turn = 0; turn < 100; ++turn)
            known.add(10ms);
        CHECK(known.value(0.99) >= 10ms);
        CHECK(known.value(0.99) <= 13ms);
        for (int turn = 0; turn < 20000; ++turn)
            known.add(100ms);
        CHECK(known.value(0.5) >= 100ms);
    }
}
