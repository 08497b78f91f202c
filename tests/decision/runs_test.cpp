#include "decision/generation_gate.hpp"
#include "decision/latency_quantile.hpp"
#include "decision/owned_run.hpp"
#include "decision/repeatable_run.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr instant deadline{4s};
constexpr duration no_timeout = 1h;

const stage_result success{
    stage_status::done, reason::none, "1", {}, {}, false};
const stage_result failure{
    stage_status::failed, reason::target_failed, {}, {}, {}, false};

/// Sends the next attempt to \a target and returns the attempt number.
std::uint32_t send_to(repeatable_run& run, retry_budget& budget,
                      const std::string& target, instant now,
                      duration timeout = no_timeout)
{
    const auto step = run.next_step(now, budget, timeout);
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
    TEST_CASE("a late result of an older attempt is dropped")
    {
        // The first attempt times out, the second is sent to another target,
        // and then the result of the first arrives.
        repeatable_run run({}, deadline, 1);
        retry_budget budget(0.1, 20);
        const auto first = send_to(run, budget, "a", instant{});
        const auto second = send_to(run, budget, "b", instant{1s}, 500ms);
        CHECK(second == first + 1);
        CHECK_FALSE(run.ended(first, success, instant{1s}));
        CHECK(run.ended(second, success, instant{1s}));
        CHECK(result_of(run.next_step(instant{1s}, budget, no_timeout)) ==
              success);
    }

    TEST_CASE("a failing stage ends at once if the retry budget is spent")
    {
        // Every target fails. Retries would multiply the load, so the caller
        // gets the final result long before the deadline.
        repeatable_run run({}, deadline, 1);
        retry_budget budget(0.1, 0.5);
        const auto first = send_to(run, budget, "a", instant{});
        run.ended(first, failure, instant{});
        const auto result = result_of(run.next_step(instant{1s}, budget, 1h));
        CHECK(result.status == stage_status::failed);
        CHECK(result.cause == reason::retry_budget_spent);
    }

    TEST_CASE("a stage with only refusals ends as refused, with a retry delay")
    {
        repeatable_run run({}, deadline, 1);
        retry_budget budget(0.1, 20);
        for (const char* target : {"a", "b"})
        {
            const auto attempt = send_to(run, budget, target, instant{});
            run.ended(attempt, refused(reason::queue_full, 300ms), instant{});
        }
        const auto result =
            result_of(run.next_step(instant{}, budget, no_timeout));
        CHECK(result.status == stage_status::refused);
        CHECK(result.retry_after == 300ms);
        CHECK_FALSE(run.may_have_run());
    }

    TEST_CASE("a stage with a failure and then refusals ends as failed")
    {
        repeatable_run run({}, deadline, 1);
        retry_budget budget(0.1, 20);
        run.ended(send_to(run, budget, "a", instant{}), failure, instant{});
        for (const char* target : {"b", "c"})
            run.ended(send_to(run, budget, target, instant{1s}),
                      refused(reason::queue_full), instant{1s});
        CHECK(
            result_of(run.next_step(instant{1s}, budget, no_timeout)).status ==
            stage_status::failed);
    }
}

TEST_SUITE("owned run")
{
    TEST_CASE("after a lost link, only the same process is tried again")
    {
        // The link closes while the request is in flight. Another target, or a
        // later process of the same target, could run the request again.
        owned_run run({}, deadline, {"a", "b"});
        run.next_step(instant{});
        run.sent(11);
        run.link_lost(1, instant{});
        const auto step = run.next_step(instant{100ms});
        REQUIRE(std::holds_alternative<send_attempt>(step));
        CHECK(std::get<send_attempt>(step).target == "a");
        CHECK(std::get<send_attempt>(step).pinned_incarnation == 11);
    }

    TEST_CASE("no result before the deadline ends as unknown, never as refused")
    {
        owned_run run({}, deadline, {"a", "b"});
        run.next_step(instant{});
        run.sent(11);
        const auto result = result_of(run.next_step(deadline));
        CHECK(result.status == stage_status::unknown);
    }

    TEST_CASE("the next owner is tried only after the owner refuses for good")
    {
        owned_run run({}, deadline, {"a", "b"});
        run.next_step(instant{});
        run.sent(11);
        run.ended(1, refused(reason::target_leaving), instant{});
        const auto step = run.next_step(instant{});
        REQUIRE(std::holds_alternative<send_attempt>(step));
        CHECK(std::get<send_attempt>(step).target == "b");
        CHECK(std::get<send_attempt>(step).renounced_by ==
              std::vector<std::string>{"a"});
        CHECK(std::get<send_attempt>(step).pinned_incarnation == 0);
    }

    TEST_CASE("a stage without a sent attempt ends as refused, not as unknown")
    {
        owned_run run({}, deadline, {"a"});
        for (int index = 0; index < 12; ++index)
        {
            run.next_step(instant{std::chrono::milliseconds(20 * index)});
            run.not_sent(instant{std::chrono::milliseconds(20 * index)});
        }
        CHECK(result_of(run.next_step(instant{1s})).status ==
              stage_status::refused);
    }
}

TEST_SUITE("generation gate")
{
    TEST_CASE("an older manifest is never adopted")
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
    TEST_CASE("the timeout leaves time for a second attempt if two fit")
    {
        CHECK(attempt_timeout(0ms, 2s) == 2s);
        CHECK(attempt_timeout(100ms, 2s) == 300ms);
        CHECK(attempt_timeout(100ms, 250ms) == 150ms);
        CHECK(attempt_timeout(100ms, 150ms) == 150ms);
    }

    TEST_CASE("an attempt that times out is kept if no retry is left")
    {
        // Every target is slow. Abandoning an attempt without the budget for
        // another would only waste the work done.
        repeatable_run run({}, deadline, 1);
        retry_budget budget(0.1, 0.5);
        send_to(run, budget, "a", instant{});
        const auto step = run.next_step(instant{1s}, budget, 100ms);
        REQUIRE(std::holds_alternative<wait_until>(step));
        CHECK(run.ended(1, success, instant{2s}));
    }

    TEST_CASE("the quantile follows recent durations")
    {
        latency_quantile latencies;
        CHECK(latencies.quantile(0.99) == 0ms);
        for (int index = 0; index < 100; ++index)
            latencies.add(10ms);
        CHECK(latencies.quantile(0.99) >= 10ms);
        CHECK(latencies.quantile(0.99) <= 13ms);
        for (int index = 0; index < 20000; ++index)
            latencies.add(100ms);
        CHECK(latencies.quantile(0.5) >= 100ms);
    }
}
