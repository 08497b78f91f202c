#include "support/gate_fixture.hpp"

#include <doctest/doctest.h>

using namespace mangofold::tests;

TEST_SUITE("target gate")
{
    TEST_CASE("a resend during the first run gets the outcome of the run")
    {
        // The caller resends through another entry while the redemption
        // still runs. The second submission must not start a run, and both
        // entries get the outcome when the first run ends.
        gate_fixture<> fixture;
        const auto first = fixture.submit(fixture.make_submission("r1"));
        const auto runs = effects_of<start_run>(first);
        REQUIRE(runs.size() == 1);
        CHECK(fixture.submit(fixture.make_submission("r1")).empty());
        const auto ended = fixture.gate.finish(
            runs[0].run, done_result("\"ok\""), fixture.now);
        const auto results = effects_of<send_result>(ended);
        REQUIRE(results.size() == 2);
        CHECK(results[0].result.body == results[1].result.body);
    }

    TEST_CASE("a resend after the run gets the stored outcome")
    {
        gate_fixture<> fixture;
        const auto runs = effects_of<start_run>(
            fixture.submit(fixture.make_submission("r1")));
        fixture.gate.finish(runs.at(0).run, done_result("\"ok\""), fixture.now);
        const auto resend = effects_of<send_result>(
            fixture.submit(fixture.make_submission("r1")));
        REQUIRE(resend.size() == 1);
        CHECK(resend[0].result.is_replayed);
        CHECK(resend[0].result.body == "\"ok\"");
    }

    TEST_CASE(
        "a different request with the same id is not answered from the ledger")
    {
        gate_fixture<> fixture;
        const auto runs = effects_of<start_run>(
            fixture.submit(fixture.make_submission("r1")));
        fixture.gate.finish(runs.at(0).run, done_result("\"ok\""), fixture.now);
        submission other = fixture.make_submission("r1");
        other.request_digest = digest_of("something else");
        CHECK(only_reason(fixture.submit(other)) == reason::request_reused);
    }

    TEST_CASE("a submission that arrives after its grant expired does not run")
    {
        // The submission waited in a socket buffer while the sidecar was
        // paused, and its entry gave up. The resumed sidecar reads its clock
        // before the buffer, so the grant has expired and nothing runs.
        gate_fixture<> fixture;
        const submission late_submission = fixture.make_submission("r1");
        fixture.now += 2s;
        CHECK(only_reason(fixture.submit(late_submission)) ==
              reason::grant_lapsed);
        gate_fixture<> in_time;
        const submission punctual_submission = in_time.make_submission("r1");
        in_time.now += 1999ms;
        CHECK(
            effects_of<start_run>(in_time.submit(punctual_submission)).size() ==
            1);
    }

    TEST_CASE("a closed stream revokes its grants")
    {
        // The stream breaks on the entry's side only. The entry resubmits on
        // a new stream, is refused and reports "not run" to its caller. Then
        // the first submission arrives on the old stream.
        gate_fixture<> fixture;
        const submission delayed = fixture.make_submission("r1");
        fixture.gate.close_link(gate_fixture<>::entry_link, fixture.now);
        CHECK(only_reason(fixture.submit(delayed)) == reason::grant_lapsed);
    }

    TEST_CASE("a restarted process refuses requests that may have run before")
    {
        // The sidecar ran the redemption, crashed and was restarted without its
        // ledger. It must refuse every request without a ticket until no
        // caller resends anymore, as the request may have run.
        gate_fixture<>::gate_type restarted{{"booking-1", 12, instant{1h}},
                                            {2s, 1000, 1U << 20U}};
        gate_fixture<> fixture;
        restarted.set_configuration({1, {"booking-1"}, 1, {0, 0, 8}, 10s, 16s},
                                    instant{1h});
        submission resend = fixture.make_submission("r1");
        resend.grant = *restarted.issue_grant(1, instant{1h});
        const auto early = restarted.submit(resend, instant{1h} + 1s);
        CHECK(only_reason(early) == reason::owner_restarted);
        CHECK(effects_of<send_result>(early)[0].result.status ==
              stage_status::unknown);
        resend.grant = *restarted.issue_grant(1, instant{1h} + 10s);
        CHECK(effects_of<start_run>(restarted.submit(resend, instant{1h} + 10s))
                  .size() == 1);
    }

    TEST_CASE(
        "a request with a current ticket runs immediately after a restart")
    {
        gate_fixture<>::gate_type restarted{{"booking-1", 12, instant{1h}},
                                            {2s, 1000, 1U << 20U}};
        gate_fixture<> fixture;
        restarted.set_configuration({1, {"booking-1"}, 1, {0, 0, 8}, 10s, 16s},
                                    instant{1h});
        submission with_ticket = fixture.make_submission("r1");
        with_ticket.grant = *restarted.issue_grant(1, instant{1h});
        with_ticket.presented_ticket = restarted.issue_ticket(instant{1h});
        CHECK(effects_of<start_run>(restarted.submit(with_ticket, instant{1h}))
                  .size() == 1);
        submission with_old_ticket = fixture.make_submission("r2");
        with_old_ticket.grant = with_ticket.grant;
        with_old_ticket.presented_ticket = ticket{"booking-1", 11, 1};
        CHECK(only_reason(restarted.submit(with_old_ticket, instant{1h})) ==
              reason::ticket_of_other_incarnation);
    }

    TEST_CASE("a ticket expires when the ledger may have dropped its keys")
    {
        gate_fixture<> fixture;
        submission with_ticket = fixture.make_submission("r1");
        with_ticket.presented_ticket = fixture.gate.issue_ticket(fixture.now);
        fixture.now += 11s;
        with_ticket.grant = *fixture.gate.issue_grant(1, fixture.now);
        CHECK(only_reason(fixture.submit(with_ticket)) ==
              reason::ticket_expired);
    }

    TEST_CASE(
        "a later process must not refuse a request pinned to an earlier one")
    {
        // An entry sent the redemption to a process that then crashed, and
        // resubmits to the next process of the target. A refusal because of
        // the entry's older manifest would be taken to mean that nothing
        // ran. Found by the random search of test_promises.
        gate_fixture<> fixture;
        fixture.configure(2, {"booking-1"});
        submission resend = fixture.make_submission("r1");
        resend.pinned_incarnation = 10;
        resend.generation = 1;
        const auto results = effects_of<send_result>(fixture.submit(resend));
        REQUIRE(results.size() == 1);
        CHECK(results[0].result.status == stage_status::unknown);
        CHECK(results[0].result.cause == reason::incarnation_changed);
    }

    TEST_CASE(
        "a renounced request is not refused if pinned to an earlier process")
    {
        // A redemption ran in a process that crashed before answering. The next
        // process is leaving and renounced the request on a resend. Then the
        // first send is retried, pinned to the crashed process. A refusal
        // would let its entry run the request at the next owner. Found by the
        // search of the specification.
        gate_fixture<> fixture;
        fixture.gate.set_leaving(fixture.now, fixture.now + 5s);
        CHECK(only_reason(fixture.submit(fixture.make_submission("r1"))) ==
              reason::target_leaving);
        submission resend = fixture.make_submission("r1");
        resend.pinned_incarnation = 10;
        CHECK(only_reason(fixture.submit(resend)) ==
              reason::incarnation_changed);
    }

    TEST_CASE("a key that another target owned recently is not run")
    {
        // After a change of the target list, the previous owner of a key may
        // have run the request. The new owner must not run a resend.
        gate_fixture<> fixture;
        fixture.configure(2, {"booking-2"});
        fixture.configure(3, {"booking-1"});
        fixture.grant = *fixture.gate.issue_grant(1, fixture.now);
        CHECK(only_reason(fixture.submit(fixture.make_submission("r1"))) ==
              reason::ownership_moved);
        submission renounced = fixture.make_submission("r2");
        renounced.renounced_by = {"booking-2"};
        CHECK(effects_of<start_run>(fixture.submit(renounced)).empty());
        fixture.now += 27s;
        fixture.grant = *fixture.gate.issue_grant(1, fixture.now);
        CHECK(
            effects_of<start_run>(fixture.submit(fixture.make_submission("r3")))
                .size() == 1);
    }

    TEST_CASE("a submission under another manifest generation is not run")
    {
        gate_fixture<> fixture;
        fixture.configure(2, {"booking-1"});
        submission mismatched = fixture.make_submission("r1", true);
        mismatched.generation = 1;
        CHECK(only_reason(fixture.submit(mismatched)) ==
              reason::generation_behind);
        mismatched.generation = 3;
        CHECK(only_reason(fixture.submit(mismatched)) ==
              reason::generation_ahead);
    }

    TEST_CASE("a leaving target starts no work, not even queued work")
    {
        gate_fixture<> fixture;
        const auto runs = effects_of<start_run>(
            fixture.submit(fixture.make_submission("r1")));
        CHECK(fixture.submit(fixture.make_submission("r2")).empty());
        CHECK(only_reason(fixture.gate.set_leaving(
                  fixture.now, fixture.now + 5s)) == reason::target_leaving);
        CHECK_FALSE(fixture.gate.issue_grant(1, fixture.now));
        // Running work is not interrupted.
        const auto ended =
            fixture.gate.finish(runs.at(0).run, done_result("1"), fixture.now);
        CHECK(effects_of<start_run>(ended).empty());
        CHECK(effects_of<send_result>(ended).size() == 1);
    }

    TEST_CASE("a request refused by a leaving target never runs there later")
    {
        // After the refusal, the entry submits to the next owner, which runs
        // the request. Then the leaving state expires, and an older submission
        // of the request arrives at this target.
        gate_fixture<> fixture;
        fixture.gate.set_leaving(fixture.now, fixture.now + 5s);
        fixture.submit(fixture.make_submission("r1"));
        fixture.now += 6s;
        fixture.grant = *fixture.gate.issue_grant(1, fixture.now);
        CHECK(
            effects_of<start_run>(fixture.submit(fixture.make_submission("r1")))
                .empty());
        CHECK(
            effects_of<start_run>(fixture.submit(fixture.make_submission("r2")))
                .size() == 1);
    }

    TEST_CASE("the leaving state expires unless it is renewed")
    {
        // The instance was replaced, but the lagging list still shows the
        // target as leaving. The replacement must not refuse work forever.
        gate_fixture<> fixture;
        fixture.gate.set_leaving(fixture.now, fixture.now + 5s);
        CHECK(fixture.gate.is_leaving(fixture.now + 4s));
        CHECK_FALSE(fixture.gate.is_leaving(fixture.now + 5s));
    }

    TEST_CASE("a full ledger refuses new requests instead of dropping keys")
    {
        gate_fixture<>::gate_type small_gate{{"booking-1", 11, instant{}},
                                             {2s, 1, 1024}};
        gate_fixture<> fixture;
        small_gate.set_configuration({1, {"booking-1"}, 4, {0, 0, 8}, 10s, 16s},
                                     instant{});
        fixture.now = instant{1h};
        fixture.grant = *small_gate.issue_grant(1, fixture.now);
        CHECK(effects_of<start_run>(
                  small_gate.submit(fixture.make_submission("r1"), fixture.now))
                  .size() == 1);
        CHECK(only_reason(small_gate.submit(fixture.make_submission("r2"),
                                            fixture.now)) ==
              reason::ledger_full);
    }

    TEST_CASE("a queued request is dropped when its stream closes")
    {
        gate_fixture<> fixture;
        const auto runs = effects_of<start_run>(
            fixture.submit(fixture.make_submission("r1")));
        fixture.submit(fixture.make_submission("r2"));
        fixture.gate.close_link(1, fixture.now);
        CHECK(fixture.gate.finish(runs.at(0).run, done_result("1"), fixture.now)
                  .empty());
        CHECK(fixture.gate.is_idle());
    }

    TEST_CASE("an outcome without a waiting entry is kept for a resend")
    {
        gate_fixture<> fixture;
        const auto runs = effects_of<start_run>(
            fixture.submit(fixture.make_submission("r1")));
        fixture.gate.close_link(1, fixture.now);
        fixture.gate.finish(runs.at(0).run, done_result("7"), fixture.now);
        fixture.grant = *fixture.gate.issue_grant(1, fixture.now);
        const auto resend = effects_of<send_result>(
            fixture.submit(fixture.make_submission("r1")));
        REQUIRE(resend.size() == 1);
        CHECK(resend[0].result.body == "7");
    }

    TEST_CASE("closing a stream cancels its repeatable runs")
    {
        gate_fixture<> fixture;
        const auto runs = effects_of<start_run>(
            fixture.submit(fixture.make_submission("r1", true)));
        const auto effects = fixture.gate.close_link(1, fixture.now);
        REQUIRE(effects_of<cancel_run>(effects).size() == 1);
        CHECK(effects_of<cancel_run>(effects)[0].run == runs.at(0).run);
    }

    TEST_CASE("a request can run again if the target could not be called")
    {
        gate_fixture<> fixture;
        const auto runs = effects_of<start_run>(
            fixture.submit(fixture.make_submission("r1")));
        fixture.gate.finish(runs.at(0).run, refused(reason::target_down),
                            fixture.now);
        CHECK(
            effects_of<start_run>(fixture.submit(fixture.make_submission("r1")))
                .size() == 1);
    }
}
