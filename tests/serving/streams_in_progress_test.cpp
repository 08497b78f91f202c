#include "support/staged_entry.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;

// Guards against streams that are refused with time left because their stages
// have failed as often as a new request may repeat them.
TEST_CASE("a stream in progress gets its stages as often as there is time for")
{
    using status = decision::job_status;
    staged_entry entry;
    entry.add_engine("v1");
    entry.outcomes = {status::input_lost, status::failed,    status::completed,
                      status::input_lost, status::rejected,  status::expired,
                      status::completed,  status::input_lost};
    const auto connection = entry.request(resumes_r1);
    CHECK(contains(entry.answer_to(*connection), "data: v1"));
}

// Guards against a stream that waits for stages that always fail, longer than
// its caller waits for an event.
TEST_CASE("a stream in progress is refused before its caller gives it up")
{
    staged_entry entry;
    entry.add_engine("v1");
    entry.outcomes.assign(1000, decision::job_status::failed);
    const auto began_at = entry.time.now();
    const auto connection = entry.request(resumes_r1);
    CHECK(contains(entry.answer_to(*connection), "stages_failed"));
    CHECK(entry.time.now() - began_at > 1s);
    CHECK(entry.time.now() - began_at < 2s);
    CHECK(entry.jobs.size() < 20);
}

// Guards against streams that are refused since engines of their version have
// crashed, while others of it start.
TEST_CASE("a stream in progress waits for an engine that it can reach")
{
    staged_entry entry;
    for (std::uint64_t number = 1; number <= 5; ++number)
        entry.add_unreachable_engine(number);
    const auto connection = entry.request(resumes_r1);
    const auto until = entry.time.now() + 500ms;
    entry.run_until(
        [&]
        {
            entry.time.advance(1ms);
            return entry.time.now() >= until;
        });
    CHECK(connection->received.empty());
    entry.add_engine("v1");
    CHECK(contains(entry.answer_to(*connection), "data: v1"));
}

// Guards against a retry budget that is used up by sends that reach no target:
// then streams whose engines crash are refused.
TEST_CASE("sends that reach no engine take nothing from the retry budget")
{
    staged_entry entry;
    for (std::uint64_t number = 1; number <= 5; ++number)
        entry.add_unreachable_engine(number);
    decision::retry_budget& budget = entry.context->retry_budget_for("events");
    while (budget.has_retry())
        budget.try_spend();
    entry.add_engine("v1");
    const auto connection = entry.request(resumes_r1);
    CHECK(contains(entry.answer_to(*connection), "data: v1"));
}

// Guards against streams that are cut with time left: an engine crashes later
// than a caller waits for the first event.
TEST_CASE("a stream that breaks late in its answer gets its stages again")
{
    staged_entry entry;
    entry.add_breaking_engine(1500ms, 1s);
    const auto connection = entry.request("");
    entry.run_until(
        [&]
        {
            entry.time.advance(1ms);
            return contains(connection->received, "data: v1");
        });
    entry.add_engine("v1");
    const std::string answer = entry.answer_to(*connection);
    CHECK(contains(answer, "id: 3"));
    CHECK(contains(answer, completed));
    REQUIRE(entry.jobs.size() == 4);
    CHECK(entry.jobs.back().continues_stream);
    CHECK(entry.jobs.back().due > entry.jobs.front().due);
}

// Guards against streams that end beside a free engine: it was full a moment
// before, and another one that is listed can't be used.
TEST_CASE("a stream in progress asks an engine again that was full")
{
    staged_entry entry;
    entry.add_full_engine(4);
    entry.add_engine("v1", "b");
    entry.context->resting_targets.note_rest("t2", 10s, entry.time.now());
    const auto connection = entry.request(resumes_r1);
    CHECK(contains(entry.answer_to(*connection), "data: v1"));
}

// Guards against a retry budget that lasts for more repeats than it allows, or
// for fewer.
TEST_CASE("a repeat to an engine that refuses takes one retry, no more or less")
{
    for (const int refusals : {2, 3})
    {
        staged_entry entry;
        decision::retry_budget& budget =
            entry.context->retry_budget_for("events");
        while (budget.has_retry())
            budget.try_spend();
        budget.take_back();
        budget.take_back();
        entry.add_full_engine(refusals);
        const auto connection = entry.request(resumes_r1);
        const std::string answer = entry.answer_to(*connection);
        CHECK(contains(answer, "data: v1") == (refusals == 2));
        CHECK(contains(answer, "retries_spent") == (refusals == 3));
    }
}

// Guards against streams that wait for what can't come, though their callers
// could go elsewhere: a zone is evacuated meanwhile.
TEST_CASE(
    "a stream in progress is refused at once when its service is evacuated")
{
    staged_entry entry;
    entry.add_full_engine(1000);
    const auto connection = entry.request(resumes_r1);
    entry.run_until(
        [&]
        {
            entry.time.advance(1ms);
            return entry.requests_to_full_engine() >= 3;
        });
    entry.context->directory.set_evacuated_zones({"a"});
    const auto evacuated_at = entry.time.now();
    CHECK(contains(entry.answer_to(*connection), "evacuated"));
    CHECK(entry.time.now() - evacuated_at < 300ms);
}

// Guards against new requests that hold their place as long as a stream in
// progress does.
TEST_CASE("a new stream gets its stages twice at most")
{
    staged_entry entry;
    entry.add_engine("v1");
    entry.outcomes.assign(2, decision::job_status::failed);
    const auto connection = entry.request("");
    CHECK(contains(entry.answer_to(*connection), "stages_failed"));
    CHECK(entry.jobs.size() == 2);
}
