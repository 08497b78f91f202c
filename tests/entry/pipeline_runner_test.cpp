#include "entry/pipeline_runner.hpp"
#include "manifest/parse.hpp"
#include "runtime/paused_clock.hpp"

#include <doctest/doctest.h>
#include <doctest/trompeloeil.hpp>

using namespace mangofold;
using namespace std::chrono_literals;
using trompeloeil::_;

namespace
{

const char* const manifest_text = R"({
    "generation": 1, "resend_horizon_ms": 6000, "zones": ["z1"], "models": [],
    "pools": [
        {"id": "p", "slots": 1, "targets": [
            {"id": "t1", "zone": "z1", "address": "127.0.0.1:1",
             "sidecar": "127.0.0.1:2"},
            {"id": "t2", "zone": "z1", "address": "127.0.0.1:3",
             "sidecar": "127.0.0.1:4"}]}],
    "pipelines": [
        {"id": "two", "deadline_ms": 1000, "stages": [
            {"id": "encode", "pool": "p"}, {"id": "generate", "pool": "p"}]},
        {"id": "redeem", "deadline_ms": 1000, "stages": [
            {"id": "redeem", "pool": "p", "repeatable": false}]}],
    "accounts": [{"id": "desk"}]})";

class mock_dispatcher : public entry::dispatcher
{
public:
    MAKE_MOCK3(submit,
               std::optional<entry::sent_submission>(
                   const std::string&, decision::submission,
                   const std::shared_ptr<entry::mailbox>&),
               override);
    MAKE_MOCK1(cancel, void(const entry::sent_submission&), override);
    MAKE_MOCK2(request_ticket,
               bool(const std::string&, const std::shared_ptr<entry::mailbox>&),
               override);
};

struct fixture
{
    runtime::paused_clock clock;
    runtime::metrics metrics;
    configuration::snapshot_ptr snapshot =
        std::make_shared<configuration::snapshot>(configuration::snapshot{
            manifest::parse(manifest_text), manifest_text});
    entry::router routes{"z1", clock, 1};
    mock_dispatcher sidecars;
    entry::pipeline_runner runner{sidecars, routes, clock, metrics};

    fixture()
    {
        routes.configure(snapshot);
        routes.link_opened("t1");
        routes.link_opened("t2");
    }

    entry::request request_for(const std::string& pipeline) const
    {
        return {pipeline, "desk", "r1", 0s, "{\"q\":1}", {}};
    }
};

/// Puts \a result into \a replies, as the sidecar of \a target does for \a
/// work.
std::optional<entry::sent_submission>
reply(const std::string& target, const decision::submission& work,
      const std::shared_ptr<entry::mailbox>& replies,
      const decision::stage_result& result)
{
    replies->put(entry::result_message{target, work.key.request_id,
                                       work.key.stage, work.attempt, result});
    return entry::sent_submission{target, 1, 11};
}

decision::stage_result done(const std::string& body)
{
    return {decision::stage_status::done, {}, body, 1ms, {}, false};
}

} // namespace

TEST_SUITE("pipeline runner")
{
    TEST_CASE("each stage receives the output of the previous stage")
    {
        fixture f;
        std::string seen;
        REQUIRE_CALL(f.sidecars, submit(_, _, _))
            .TIMES(2)
            .LR_SIDE_EFFECT(seen = _2.body)
            .LR_RETURN(reply(_1, _2, _3, done("\"" + _2.key.stage + "\"")));
        const auto result = f.runner.run(f.request_for("two"), f.snapshot);
        CHECK(result.kind == entry::outcome_kind::answered);
        CHECK(result.answer == "\"generate\"");
        CHECK(seen == R"({"request":{"q":1},"previous":"encode"})");
        CHECK(result.costs.size() == 2);
    }

    TEST_CASE("a result of another request is dropped")
    {
        // A result with the id of another request arrives before the right
        // result. Only the right result may become part of the answer.
        fixture f;
        const auto misdirected_then_own =
            [](const std::string& target, decision::submission work,
               const std::shared_ptr<entry::mailbox>& replies)
        {
            decision::submission other = work;
            other.key.request_id = "r2";
            reply(target, other, replies, done("\"other\""));
            return reply(target, work, replies, done("\"own\""));
        };
        REQUIRE_CALL(f.sidecars, submit(_, _, _))
            .TIMES(2)
            .LR_RETURN(misdirected_then_own(_1, _2, _3));
        CHECK(f.runner.run(f.request_for("two"), f.snapshot).answer ==
              "\"own\"");
    }

    TEST_CASE("a refusal at a later stage is reported as failed")
    {
        fixture f;
        const auto second_refused = [](const decision::submission& work)
        {
            return work.key.stage == "encode"
                       ? done("1")
                       : decision::refused(decision::reason::queue_full);
        };
        REQUIRE_CALL(f.sidecars, submit(_, _, _))
            .TIMES(3)
            .LR_RETURN(reply(_1, _2, _3, second_refused(_2)));
        const auto result = f.runner.run(f.request_for("two"), f.snapshot);
        CHECK(result.kind == entry::outcome_kind::failed);
    }

    TEST_CASE(
        "a non-repeatable stage that may have run is unknown, not refused")
    {
        fixture f;
        REQUIRE_CALL(f.sidecars, submit(_, _, _))
            .LR_RETURN(reply(
                _1, _2, _3,
                decision::unknown_outcome(decision::reason::target_timeout)));
        CHECK(f.runner.run(f.request_for("redeem"), f.snapshot).kind ==
              entry::outcome_kind::unknown);
    }

    TEST_CASE("only the owner can report a non-repeatable stage as not run")
    {
        // The redemption ran through another entry, and the client resends it
        // to this entry, which cannot reach the owner. If this entry reported
        // "not run", the client would redeem again under a new id. Only the
        // owner's refusal may report that.
        fixture f;
        ALLOW_CALL(f.sidecars, submit(_, _, _))
            .LR_SIDE_EFFECT(f.clock.advance(2s))
            .RETURN(std::nullopt);
        CHECK(f.runner.run(f.request_for("redeem"), f.snapshot).kind ==
              entry::outcome_kind::unknown);
        REQUIRE_CALL(f.sidecars, submit(_, _, _))
            .LR_RETURN(reply(_1, _2, _3,
                             decision::refused(decision::reason::queue_full)));
        CHECK(f.runner.run(f.request_for("redeem"), f.snapshot).kind ==
              entry::outcome_kind::refused);
    }

    TEST_CASE("a non-repeatable stage is always sent to the same owner")
    {
        fixture f;
        std::vector<std::string> targets;
        REQUIRE_CALL(f.sidecars, submit(_, _, _))
            .TIMES(3)
            .LR_SIDE_EFFECT(targets.push_back(_1))
            .LR_RETURN(reply(_1, _2, _3, done("1")));
        for (int run = 0; run < 3; ++run)
            f.runner.run(f.request_for("redeem"), f.snapshot);
        CHECK(targets == std::vector<std::string>(3, targets[0]));
    }
}
