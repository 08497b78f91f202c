#include "support/gate_fixture.hpp"

#include <doctest/doctest.h>

using namespace mangofold::tests;

TEST_SUITE("target gate")
{
    TEST_CASE("a resend while the first sending runs gets its outcome")
    {
        // The caller loses patience and sends again through another entry
        // while the redemption still runs. The second submission must not
        // start a run; when the first ends, both entries get the outcome.
        gate_fixture<> f;
        const auto first = f.submit(f.work("r1"));
        const auto runs = all_of<start_run>(first);
        REQUIRE(runs.size() == 1);
        CHECK(f.submit(f.work("r1")).empty());
        const auto ended =
            f.decisions.finish(runs[0].run, answer("\"ok\""), f.now);
        const auto results = all_of<send_result>(ended);
        REQUIRE(results.size() == 2);
        CHECK(results[0].result.body == results[1].result.body);
    }

    TEST_CASE("a resend after the end gets the stored outcome")
    {
        gate_fixture<> f;
        const auto runs = all_of<start_run>(f.submit(f.work("r1")));
        f.decisions.finish(runs.at(0).run, answer("\"ok\""), f.now);
        const auto again = all_of<send_result>(f.submit(f.work("r1")));
        REQUIRE(again.size() == 1);
        CHECK(again[0].result.is_replayed);
        CHECK(again[0].result.body == "\"ok\"");
    }

    TEST_CASE("another request under the same id is not answered from memory")
    {
        gate_fixture<> f;
        const auto runs = all_of<start_run>(f.submit(f.work("r1")));
        f.decisions.finish(runs.at(0).run, answer("\"ok\""), f.now);
        submission other = f.work("r1");
        other.request_digest = digest_of("something else");
        CHECK(reason_in(f.submit(other)) == reason::request_reused);
    }

    TEST_CASE("a submission that arrives after its grant lapsed does not run")
    {
        // The entry gave the submission up; it lay in a socket buffer while
        // the sidecar was paused. On waking the sidecar reads its clock
        // before the buffer, finds the grant lapsed and starts nothing.
        gate_fixture<> f;
        const submission late = f.work("r1");
        f.now += 2s;
        CHECK(reason_in(f.submit(late)) == reason::grant_lapsed);
        gate_fixture<> in_time;
        const submission punctual = in_time.work("r1");
        in_time.now += 1999ms;
        CHECK(all_of<start_run>(in_time.submit(punctual)).size() == 1);
    }

    TEST_CASE("a new stream of an entry ends the grants of its older one")
    {
        // The stream breaks on the entry's side only. The entry sends again
        // on a new stream, is refused there and tells its caller "not run".
        // The first submission arrives on the old stream after that.
        gate_fixture<> f;
        const submission held_up = f.work("r1");
        f.decisions.close_link(gate_fixture<>::entry, f.now);
        CHECK(reason_in(f.submit(held_up)) == reason::grant_lapsed);
    }

    TEST_CASE("a new process refuses what an earlier one may have run")
    {
        // The sidecar ran the redemption, died and was started again. The
        // caller sends again. The new process remembers nothing and may not
        // run anything undated until no caller resends any more.
        gate_fixture<>::gate fresh{{"booking-1", 12, instant{1h}},
                                   {2s, 1000, 1U << 20U}};
        gate_fixture<> f;
        fresh.set_configuration({1, {"booking-1"}, 1, {0, 0, 8}, 10s, 16s},
                                instant{1h});
        submission again = f.work("r1");
        again.grant = *fresh.issue_grant(1, instant{1h});
        const auto early = fresh.submit(again, instant{1h} + 1s);
        CHECK(reason_in(early) == reason::owner_restarted);
        CHECK(all_of<send_result>(early)[0].result.status ==
              stage_status::unknown);
        again.grant = *fresh.issue_grant(1, instant{1h} + 10s);
        CHECK(
            all_of<start_run>(fresh.submit(again, instant{1h} + 10s)).size() ==
            1);
    }

    TEST_CASE("a ticket of this process runs at once after a restart")
    {
        gate_fixture<>::gate fresh{{"booking-1", 12, instant{1h}},
                                   {2s, 1000, 1U << 20U}};
        gate_fixture<> f;
        fresh.set_configuration({1, {"booking-1"}, 1, {0, 0, 8}, 10s, 16s},
                                instant{1h});
        submission dated = f.work("r1");
        dated.grant = *fresh.issue_grant(1, instant{1h});
        dated.presented_ticket = fresh.mint_ticket(instant{1h});
        CHECK(all_of<start_run>(fresh.submit(dated, instant{1h})).size() == 1);
        submission stale = f.work("r2");
        stale.grant = dated.grant;
        stale.presented_ticket = ticket{"booking-1", 11, 1};
        CHECK(reason_in(fresh.submit(stale, instant{1h})) ==
              reason::ticket_of_other_incarnation);
    }

    TEST_CASE(
        "an old ticket is not accepted once the ledger may have forgotten")
    {
        gate_fixture<> f;
        submission dated = f.work("r1");
        dated.presented_ticket = f.decisions.mint_ticket(f.now);
        f.now += 11s;
        dated.grant = *f.decisions.issue_grant(1, f.now);
        CHECK(reason_in(f.submit(dated)) == reason::ticket_expired);
    }

    TEST_CASE("a refusal by another process does not mean not run")
    {
        // An entry sent the redemption to a process that then died. It sends
        // again to the next process of that target, which would refuse it
        // because the entry's manifest is older. The entry would take that
        // for the word that nothing ran. Found by the search over histories.
        gate_fixture<> f;
        f.configure(2, {"booking-1"});
        submission again = f.work("r1");
        again.pinned_incarnation = 10;
        again.generation = 1;
        const auto results = all_of<send_result>(f.submit(again));
        REQUIRE(results.size() == 1);
        CHECK(results[0].result.status == stage_status::unknown);
        CHECK(results[0].result.cause == reason::incarnation_changed);
    }

    TEST_CASE("a renounced request is not refused to a sending of before")
    {
        // A redemption ran in a process that died; its answer was lost. The
        // next process is leaving and renounced the request to a resend. Then
        // the first sending comes again, meant for the dead process: were it
        // refused as well, its entry would run it at the next owner. Found
        // by the search of the specification.
        gate_fixture<> f;
        f.decisions.set_leaving(f.now, f.now + 5s);
        CHECK(reason_in(f.submit(f.work("r1"))) == reason::target_leaving);
        submission again = f.work("r1");
        again.pinned_incarnation = 10;
        CHECK(reason_in(f.submit(again)) == reason::incarnation_changed);
    }

    TEST_CASE("a key that another target owned a moment ago is not run here")
    {
        // A target is added. Keys move to it that the older ones may just
        // have run under the list before. A resend must not run here.
        gate_fixture<> f;
        f.configure(2, {"booking-2"});
        f.configure(3, {"booking-1"});
        f.grant = *f.decisions.issue_grant(1, f.now);
        CHECK(reason_in(f.submit(f.work("r1"))) == reason::ownership_moved);
        submission renounced = f.work("r2");
        renounced.renounced_by = {"booking-2"};
        CHECK(all_of<start_run>(f.submit(renounced)).empty());
        f.now += 27s;
        f.grant = *f.decisions.issue_grant(1, f.now);
        CHECK(all_of<start_run>(f.submit(f.work("r3"))).size() == 1);
    }

    TEST_CASE("a submission under another manifest is not run")
    {
        gate_fixture<> f;
        f.configure(2, {"booking-1"});
        submission behind = f.work("r1", true);
        behind.generation = 1;
        CHECK(reason_in(f.submit(behind)) == reason::generation_behind);
        behind.generation = 3;
        CHECK(reason_in(f.submit(behind)) == reason::generation_ahead);
    }

    TEST_CASE("a leaving target starts nothing, not even what is queued")
    {
        gate_fixture<> f;
        const auto runs = all_of<start_run>(f.submit(f.work("r1")));
        CHECK(f.submit(f.work("r2")).empty());
        CHECK(reason_in(f.decisions.set_leaving(f.now, f.now + 5s)) ==
              reason::target_leaving);
        CHECK_FALSE(f.decisions.issue_grant(1, f.now));
        // What runs ends in peace.
        const auto ended =
            f.decisions.finish(runs.at(0).run, answer("1"), f.now);
        CHECK(all_of<start_run>(ended).empty());
        CHECK(all_of<send_result>(ended).size() == 1);
    }

    TEST_CASE("what a leaving target refused never runs there later")
    {
        // The entry takes the refusal to the next owner, which runs it. The
        // mark lapses, and an older sending of the request arrives here.
        gate_fixture<> f;
        f.decisions.set_leaving(f.now, f.now + 5s);
        f.submit(f.work("r1"));
        f.now += 6s;
        f.grant = *f.decisions.issue_grant(1, f.now);
        CHECK(all_of<start_run>(f.submit(f.work("r1"))).empty());
        CHECK(all_of<start_run>(f.submit(f.work("r2"))).size() == 1);
    }

    TEST_CASE("a mark that is not repeated ends by itself")
    {
        // The instance was replaced, but the lagging list still calls it
        // leaving for a while. The replacement must not stay shut for good.
        gate_fixture<> f;
        f.decisions.set_leaving(f.now, f.now + 5s);
        CHECK(f.decisions.is_leaving(f.now + 4s));
        CHECK_FALSE(f.decisions.is_leaving(f.now + 5s));
    }

    TEST_CASE("a full ledger refuses new requests rather than forget")
    {
        gate_fixture<>::gate small{{"booking-1", 11, instant{}}, {2s, 1, 1024}};
        gate_fixture<> f;
        small.set_configuration({1, {"booking-1"}, 4, {0, 0, 8}, 10s, 16s},
                                instant{});
        f.now = instant{1h};
        f.grant = *small.issue_grant(1, f.now);
        CHECK(all_of<start_run>(small.submit(f.work("r1"), f.now)).size() == 1);
        CHECK(reason_in(small.submit(f.work("r2"), f.now)) ==
              reason::ledger_full);
    }

    TEST_CASE("a queued request whose entry went away is not run")
    {
        gate_fixture<> f;
        const auto runs = all_of<start_run>(f.submit(f.work("r1")));
        f.submit(f.work("r2"));
        f.decisions.close_link(1, f.now);
        CHECK(f.decisions.finish(runs.at(0).run, answer("1"), f.now).empty());
        CHECK(f.decisions.is_idle());
    }

    TEST_CASE("an outcome that nobody waited for is kept for the resend")
    {
        gate_fixture<> f;
        const auto runs = all_of<start_run>(f.submit(f.work("r1")));
        f.decisions.close_link(1, f.now);
        f.decisions.finish(runs.at(0).run, answer("7"), f.now);
        f.grant = *f.decisions.issue_grant(1, f.now);
        const auto again = all_of<send_result>(f.submit(f.work("r1")));
        REQUIRE(again.size() == 1);
        CHECK(again[0].result.body == "7");
    }

    TEST_CASE("an entry that left cancels its repeatable run")
    {
        gate_fixture<> f;
        const auto runs = all_of<start_run>(f.submit(f.work("r1", true)));
        const auto effects = f.decisions.close_link(1, f.now);
        REQUIRE(all_of<cancel_run>(effects).size() == 1);
        CHECK(all_of<cancel_run>(effects)[0].run == runs.at(0).run);
    }

    TEST_CASE("a target that was never called leaves the request free to run")
    {
        gate_fixture<> f;
        const auto runs = all_of<start_run>(f.submit(f.work("r1")));
        f.decisions.finish(runs.at(0).run, refused(reason::target_down), f.now);
        CHECK(all_of<start_run>(f.submit(f.work("r1"))).size() == 1);
    }
}
