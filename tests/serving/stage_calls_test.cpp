#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;
using end = scripted_target::response::connection_action;

namespace
{

/// An entry that batches the service "pieces": a call holds eight pieces, takes
/// 280 ms, and one more call may wait at a target.
struct batching_entry : serving_fixture
{
    /// Adds a job with eight pieces, which need \a inputs.
    void add_job(std::vector<std::string> inputs = {})
    {
        decision::stage_job job;
        job.request = "r" + std::to_string(outcomes.size() + 1);
        job.pieces = 8;
        job.inputs = std::move(inputs);
        job.due = job.expires = time.now() + 60s;
        const std::size_t index = outcomes.size();
        outcomes.emplace_back();
        fetched.push_back(false);
        wanted.push_back(true);
        batcher->add(
            "pieces", job,
            [this, index](serving::job_outcome outcome)
            {
                outcomes[index] = std::move(outcome);
                return true;
            },
            [this, index] { return wanted[index]; },
            [this, index] { fetched[index] = true; });
    }

    void advance(serving::duration total)
    {
        constexpr serving::duration step = 10ms;
        for (serving::duration elapsed{}; elapsed < total; elapsed += step)
        {
            time.advance(step);
            settle();
        }
    }

    /// Returns how the first job ended.
    decision::job_status status_of_first_job()
    {
        for (int step = 0; step < 200 && !outcomes[0]; ++step)
        {
            time.advance(50ms);
            loop.run_for(1ms);
        }
        REQUIRE(outcomes[0]);
        return outcomes[0]->status;
    }

    std::uint64_t count(const std::string& name, const std::string& label,
                        const std::string& value)
    {
        return context->metrics.count({name, runtime::label(label, value)});
    }

    std::vector<std::optional<serving::job_outcome>> outcomes;
    std::vector<bool> fetched;
    std::vector<bool> wanted;
};

scripted_target::response results()
{
    std::string body;
    for (int piece = 0; piece < 8; ++piece)
        body += "x/" + std::to_string(piece) + "\n";
    return {response_text("", body), end::keep};
}

} // namespace

// Guards against jobs that fail or wait since a call ahead came too early: the
// full target refuses it and asks for a rest, as it does with any request.
TEST_CASE("a call ahead that a full target refuses costs nothing")
{
    batching_entry entry;
    auto& target = entry.add_target(
        "pieces",
        [](const std::string&, std::size_t number)
        {
            if (number == 0)
                return scripted_target::response{"", end::hang};
            if (number == 1)
                return scripted_target::response{
                    response_text("", "", "503 Full",
                                  "Not-Run: 1\r\nRest: 9\r\n"),
                    end::keep};
            return results();
        });
    for (int job = 0; job < 3; ++job)
        entry.add_job();
    entry.advance(240ms);
    CHECK(target.requests().size() == 1);
    entry.advance(40ms);
    CHECK(target.requests().size() == 2);
    CHECK(entry.count("calls_ahead", "how", "sent") == 1);
    CHECK(entry.count("calls_ahead", "how", "refused") == 1);
    CHECK_FALSE(entry.context->resting_targets.has_any());
    // The first call is given up after 1,140 ms.
    entry.advance(1200ms);
    for (const std::size_t job : {1, 2})
    {
        REQUIRE(entry.outcomes[job]);
        CHECK(entry.outcomes[job]->status == decision::job_status::completed);
    }
}

// Guards against a call that fails because its inputs are gone: they were
// released while the call still waited behind another one.
TEST_CASE("the inputs of a call ahead are kept until it has begun")
{
    batching_entry entry;
    auto& target =
        entry.add_target("pieces",
                         [](const std::string&, std::size_t) {
                             return scripted_target::response{"", end::hang};
                         });
    for (int job = 0; job < 3; ++job)
        entry.add_job();
    entry.advance(100ms);
    CHECK(entry.fetched[0]);
    entry.advance(400ms);
    CHECK(target.requests().size() == 2);
    CHECK_FALSE(entry.fetched[1]);
    CHECK_FALSE(entry.fetched[2]);
}

// Guards against a request that is refused after two lost calls, since each of
// them had all stages of the request run again.
TEST_CASE("pieces without inputs are called again after a late loss")
{
    for (const end loss : {end::reset, end::close, end::hang})
    {
        CAPTURE(static_cast<int>(loss));
        batching_entry entry;
        auto& target = entry.add_target(
            "pieces",
            [loss](const std::string&, std::size_t number)
            {
                return number < 2 ? scripted_target::response{"", loss, 200ms}
                                  : results();
            });
        entry.add_job();
        CHECK(entry.status_of_first_job() == decision::job_status::completed);
        CHECK(entry.fetched[0]);
        CHECK(target.requests().size() == 3);
    }
}

// Guards against results that are missing from the answer of a killed target:
// without a length it ends in order, and counted as the answer of a sound one,
// so that a request which kills its targets was never held against them.
TEST_CASE("an unusable answer that ends with its connection is a crash")
{
    for (const std::string body : {"", "x/0\nx/1\n", "unreadable"})
        for (const bool has_length : {false, true})
        {
            CAPTURE(body);
            CAPTURE(has_length);
            batching_entry entry;
            auto& target = entry.add_target(
                "pieces",
                [&](const std::string&, std::size_t number)
                {
                    if (number > 0)
                        return results();
                    const std::string head =
                        "HTTP/1.1 200 OK\r\nId: \r\nSeal: s\r\n";
                    return has_length
                               ? scripted_target::response{response_text("",
                                                                         body),
                                                           end::keep}
                               : scripted_target::response{head + "\r\n" + body,
                                                           end::close};
                });
            entry.add_job();
            CHECK(entry.status_of_first_job() ==
                  decision::job_status::completed);
            CHECK(target.requests().size() == 2);
            CHECK(entry.count("calls_failed", "why", "lost") ==
                  (has_length ? 0 : 1));
            CHECK(entry.context->quarantine.crashes().is_empty() == has_length);
        }
}

// Guards against a call for pieces whose inputs were released meanwhile.
TEST_CASE("pieces whose inputs were released are not called again")
{
    batching_entry entry;
    auto& target = entry.add_target(
        "pieces",
        [](const std::string&, std::size_t number)
        {
            return number == 0
                       ? scripted_target::response{"", end::reset, 200ms}
                       : results();
        });
    entry.add_job({"x/1"});
    CHECK(entry.status_of_first_job() == decision::job_status::input_lost);
    CHECK(entry.fetched[0]);
    CHECK(target.requests().size() == 1);
}

TEST_CASE("calls are counted by the share of their space that is used")
{
    batching_entry entry;
    entry.add_target("pieces",
                     [](const std::string&, std::size_t) { return results(); });
    entry.add_job();
    entry.run_until([&] { return entry.outcomes[0].has_value(); });
    CHECK(entry.count("calls_by_fill", "share", "full") == 1);
}
