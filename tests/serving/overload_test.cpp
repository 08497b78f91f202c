#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::serving;
using namespace mangofold::test;
using namespace std::chrono_literals;

namespace
{

/// An entry whose stage jobs are all rejected.
struct rejecting_fixture : serving_fixture
{
    void execute(const std::string& /*service*/, decision::stage_job job,
                 pending_job_ptr pending) override
    {
        jobs.push_back(std::move(job));
        pending->set_outcome(
            {decision::job_status::rejected, {}, false, retry_in});
    }

    duration retry_in = 700ms;
};

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against callers that wait for nothing: there is no capacity for their
// request in time, and they learn neither that nor when to return.
TEST_CASE("a rejected request gets the reason and the time of the next try")
{
    rejecting_fixture entry;
    std::size_t sends = 0;
    entry.add_target(
        "events",
        [&sends](const std::string&, std::size_t)
        {
            ++sends;
            return scripted_target::response{
                response_text("r1", ""),
                scripted_target::response::connection_action::keep};
        });
    const std::string got = entry.send_and_receive(
        request_text("/staged/", "r1", "Pieces: 21\r\n"));
    CHECK(has(got, "503"));
    CHECK(has(got, "Retry-After: 0.700"));
    CHECK(has(got, "overloaded"));
    CHECK(sends == 0);
    REQUIRE(entry.jobs.size() == 1);
    CHECK(entry.jobs[0].accepts_rejection);
}

// Guards against a delay that the caller does not follow, since it is longer
// than a third of its remaining time.
TEST_CASE("the delay of a rejected request is capped by the caller's time")
{
    rejecting_fixture entry;
    entry.retry_in = 1h;
    entry.add_target(
        "events",
        [](const std::string&, std::size_t)
        {
            return scripted_target::response{
                "", scripted_target::response::connection_action::hang};
        });
    const std::string got = entry.send_and_receive(
        request_text("/staged/", "r1", "Pieces: 21\r\nBudget: 2000\r\n"));
    CHECK(has(got, "Retry-After: 0.600"));
}

// Guards against a rejection although a stage of the request has run: the
// first of two stages that start together may be done by then.
TEST_CASE("stages after the first are never rejected")
{
    serving_fixture entry;
    entry.add_target(
        "pieces",
        [](const std::string&, std::size_t number)
        {
            return scripted_target::response{
                response_text("", "x/" + std::to_string(number)),
                scripted_target::response::connection_action::keep};
        });
    const auto caller = entry.connect();
    entry.send(*caller, request_text("/beside/", "r1", "Pieces: 111\r\n"));
    entry.run_until([&] { return entry.jobs.size() == 3; });
    CHECK(entry.jobs[0].accepts_rejection);
    CHECK_FALSE(entry.jobs[1].accepts_rejection);
    CHECK_FALSE(entry.jobs[2].accepts_rejection);
}

// Guards against callers that are rejected again and again: those that return
// go before others, at whichever entry they arrive, and that entry has rejected
// nothing.
TEST_CASE("a caller who has less time left than others counts as returning")
{
    rejecting_fixture entry;
    entry.add_target(
        "events",
        [](const std::string&, std::size_t)
        {
            return scripted_target::response{
                "", scripted_target::response::connection_action::hang};
        });
    const auto ask = [&entry](const std::string& budget)
    {
        entry.send_and_receive(request_text(
            "/staged/", "r1", "Pieces: 21\r\nBudget: " + budget + "\r\n"));
    };
    ask("3000");
    ask("2900");
    ask("2000");
    REQUIRE(entry.jobs.size() == 3);
    CHECK_FALSE(entry.jobs[0].is_returning);
    CHECK_FALSE(entry.jobs[1].is_returning);
    CHECK(entry.jobs[2].is_returning);
    // Its first try was about a second before.
    CHECK(entry.jobs[2].due < entry.jobs[1].due - 800ms);
}
