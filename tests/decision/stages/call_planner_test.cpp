#include "decision/stages/call_planner.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace mangofold;
using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const instant start{1h};

/// One slot, ten pieces per call, 200 ms per call plus 10 ms per piece, and
/// memory for thirty results of 1,000 bytes.
catalog::call_profile profile()
{
    return {1, 2, 10, 200ms, 10ms, 31000, 4s};
}

stage_job make_job(std::uint64_t number, std::uint32_t pieces, duration due)
{
    stage_job result;
    result.number = number;
    result.request = "r" + std::to_string(number);
    result.pieces = pieces;
    result.result_bytes = 1000;
    result.due = start + due;
    result.expires = start + due + 4s;
    return result;
}

call_planner make_planner(int targets)
{
    call_planner planner(profile());
    std::map<target_incarnation, std::string> zones;
    for (int index = 0; index < targets; ++index)
        zones["t" + std::to_string(index)] = "a";
    planner.set_targets(zones);
    return planner;
}

void complete_call(call_planner& planner, const planned_call& call, instant now)
{
    planner.note_call_answered(call, call.expected_time, now);
    for (const piece_ref& piece : call.pieces)
        planner.note_piece_completed(piece, call.target,
                                     call.target.id + "/" +
                                         std::to_string(piece.job) + "." +
                                         std::to_string(piece.piece),
                                     now);
}

/// Returns the jobs of the next call in the order in which they joined it.
std::vector<std::uint64_t> start_order(call_planner& planner)
{
    std::vector<std::uint64_t> numbers;
    const auto call = planner.next_call(start);
    if (call)
        for (const piece_ref& piece : call->pieces)
            if (numbers.empty() || numbers.back() != piece.job)
                numbers.push_back(piece.job);
    return numbers;
}

} // namespace

TEST_CASE("a call holds pieces of several requests, the earliest due first")
{
    call_planner planner = make_planner(1);
    planner.add(make_job(1, 4, 3s));
    planner.add(make_job(2, 4, 1s));
    planner.add(make_job(3, 4, 2s));
    const auto call = planner.next_call(start);
    REQUIRE(call);
    CHECK(call->pieces.size() == 8);
    CHECK(planner.waiting_pieces() == 4);
    CHECK(call->expected_time == 280ms);
    for (const piece_ref& piece : call->pieces)
        CHECK(piece.job != 1);
    CHECK_FALSE(planner.next_call(start));
}

TEST_CASE("a job that fits is not split, smaller jobs fill up the call")
{
    call_planner planner = make_planner(1);
    planner.add(make_job(1, 8, 1s));
    planner.add(make_job(2, 5, 2s));
    planner.add(make_job(3, 2, 3s));
    const auto call = planner.next_call(start);
    REQUIRE(call);
    CHECK(call->pieces.size() == 10);
    CHECK(planner.find(2) != nullptr);
    CHECK(planner.waiting_pieces() == 5);
}

// Guards against moving megabytes of results across zones although targets of
// the preferred zone are idle: jobs for zone b arrive one by one while the
// first free target is in zone a, and all of them are executed there.
TEST_CASE("a job waits briefly for a target of its own zone")
{
    call_planner planner(profile());
    planner.set_targets({{"t0", "a"}, {"t1", "b"}});
    const auto job_for_zone_b = [](std::uint64_t number)
    {
        stage_job result = make_job(number, 4, 3s);
        result.zone = "b";
        result.queued_at = start;
        return result;
    };
    planner.add(job_for_zone_b(1));
    const auto first = planner.next_call(start);
    REQUIRE(first);
    CHECK(first->target == "t1");
    // t1 is free again after 240 ms, longer than the job waits.
    planner.add(job_for_zone_b(2));
    CHECK(planner.next_call(start + 10ms)->target == "t0");
    planner.note_call_answered(*first, 240ms, start + 240ms);
    planner.add(job_for_zone_b(3));
    CHECK(planner.next_call(start + 240ms)->target == "t1");
}

// Guards against inputs that cross zones because a target of the zone is free
// only after half of a call's time: each piece fetches all inputs of its job.
TEST_CASE("a job waits for a target of its zone for the time of a call")
{
    call_planner planner(profile());
    planner.set_targets({{"t0", "a"}, {"t1", "b"}});
    stage_job zone_b_job = make_job(1, 4, 3s);
    zone_b_job.zone = "b";
    zone_b_job.queued_at = start;
    planner.add(zone_b_job);
    const auto first = planner.next_call(start);
    REQUIRE(first);
    CHECK(first->target == "t1");
    // t1 is free after 240 ms; this job arrives 60 ms after the call began.
    zone_b_job.number = 2;
    zone_b_job.queued_at = start + 60ms;
    planner.add(zone_b_job);
    CHECK_FALSE(planner.next_call(start + 110ms));
    CHECK_FALSE(planner.next_call(start + 230ms));
    CHECK(planner.next_call(start + 260ms)->target == "t0");
}

TEST_CASE("a job does not wait for a zone without a target that is free soon")
{
    call_planner planner(profile());
    planner.set_targets({{"t0", "a"}, {"t1", "b"}});
    stage_job zone_b_job = make_job(1, 4, 3s);
    zone_b_job.zone = "b";
    zone_b_job.queued_at = start;
    planned_call failed_call;
    failed_call.target = "t1";
    planner.note_call_failed(failed_call, false, start);
    planner.add(zone_b_job);
    REQUIRE(planner.next_call(start));
}

// Guards against calls that fail for lack of memory for seconds after a
// connection reset: a call runs but its answer is lost, its results stay at the
// target under unknown handles, and more calls are sent there than fit.
TEST_CASE("results of an unanswered call count as stored until they expire")
{
    call_planner planner = make_planner(1);
    for (std::uint64_t number = 1; number <= 3; ++number)
    {
        planner.add(make_job(number, 10, 9s));
        const auto call = planner.next_call(start + number * 1s);
        REQUIRE(call);
        planner.note_call_unanswered(*call, start + number * 1s);
        planner.cancel(number);
    }
    planner.add(make_job(4, 10, 9s));
    CHECK_FALSE(planner.next_call(start + 4s + 500ms));
    CHECK(planner.next_call(start + 5s));
}

TEST_CASE("a job too large for one call is split")
{
    call_planner planner = make_planner(2);
    planner.add(make_job(1, 14, 1s));
    CHECK(planner.next_call(start)->pieces.size() == 10);
    CHECK(planner.next_call(start)->pieces.size() == 4);
}

TEST_CASE("a finished job returns its handles in the order of its pieces")
{
    call_planner planner = make_planner(1);
    planner.add(make_job(1, 3, 1s));
    const auto call = planner.next_call(start);
    complete_call(planner, *call, start + 230ms);
    const auto done = planner.take_finished();
    REQUIRE(done.size() == 1);
    CHECK(done[0].handles ==
          std::vector<std::string>{"t0/1.0", "t0/1.1", "t0/1.2"});
    CHECK(planner.job_count() == 0);
}

// Guards against calls whose results the target cannot store: results fill the
// target's memory, the next call is made there anyway, and most of its pieces
// fail for lack of memory after the call's full time.
TEST_CASE("no call is made to a target without memory for the results")
{
    call_planner planner = make_planner(1);
    for (std::uint64_t number = 1; number <= 3; ++number)
    {
        planner.add(make_job(number, 10, 1s));
        const auto call = planner.next_call(start);
        REQUIRE(call);
        complete_call(planner, *call, start + 300ms);
        planner.take_finished();
    }
    planner.add(make_job(4, 10, 1s));
    CHECK_FALSE(planner.next_call(start + 300ms));
    for (int piece = 0; piece < 10; ++piece)
        planner.note_released("t0", "t0/1." + std::to_string(piece));
    CHECK(planner.next_call(start + 300ms));
    // Results that are never released expire.
    planner.add(make_job(5, 10, 6s));
    CHECK(planner.next_call(start + 5s) == std::nullopt);
    planned_call other;
    other.target = "t0";
    planner.note_call_answered(other, 200ms, start + 5s);
    CHECK(planner.next_call(start + 5s));
}

// Guards against requests that wait a second and a half for a slow target: a
// target becomes five times slower, and is free while the others are busy for
// some 100 ms. A call sent to it ends later than one that waits for another
// target.
TEST_CASE("a slow target is skipped where waiting for another is faster")
{
    call_planner planner = make_planner(2);
    planner.add(make_job(1, 10, 1s));
    const auto first = planner.next_call(start);
    planner.note_call_answered(*first, 1500ms, start + 1500ms);
    for (const piece_ref& piece : first->pieces)
        planner.requeue_piece(piece);
    planner.note_call_answered(*first, 1500ms, start + 1500ms);
    const auto second = planner.next_call(start + 1500ms);
    REQUIRE(second);
    CHECK(second->target != first->target);
    planner.add(make_job(2, 10, 2s));
    CHECK_FALSE(planner.next_call(start + 1500ms));
}

// Guards against a service that runs on half of its targets although all have
// recovered: a slow target is skipped, and since it gets no calls, nothing
// shows that it is fast again.
TEST_CASE("a slow target is probed with one job and used again")
{
    call_planner planner = make_planner(2);
    planner.add(make_job(1, 10, 1s));
    const auto slow = planner.next_call(start);
    planner.note_call_answered(*slow, 1500ms, start);
    for (const piece_ref& piece : slow->pieces)
        planner.requeue_piece(piece);
    const auto fast = planner.next_call(start);
    REQUIRE(fast->target != slow->target);
    planner.add(make_job(2, 4, 20s));
    planner.add(make_job(3, 4, 40s));
    CHECK_FALSE(planner.next_call(start + 100ms));
    const auto probe = planner.next_call(start + 1s);
    REQUIRE(probe);
    CHECK(probe->target == slow->target);
    CHECK(probe->pieces.size() == 4);
    CHECK(probe->pieces[0].job == 3);
    planner.note_call_answered(*probe, 240ms, start + 1240ms);
    planner.add(make_job(4, 4, 4s));
    const auto again = planner.next_call(start + 1240ms);
    REQUIRE(again);
    CHECK(again->target == slow->target);
}

TEST_CASE("a failing target gets no calls for a growing backoff time")
{
    call_planner planner = make_planner(1);
    planner.add(make_job(1, 1, 9s));
    auto call = planner.next_call(start);
    planner.requeue_piece(call->pieces[0]);
    planner.note_call_failed(*call, false, start);
    CHECK_FALSE(planner.next_call(start + 199ms));
    call = planner.next_call(start + 200ms);
    REQUIRE(call);
    planner.requeue_piece(call->pieces[0]);
    planner.note_call_failed(*call, false, start + 200ms);
    CHECK_FALSE(planner.next_call(start + 599ms));
    CHECK(planner.next_call(start + 600ms));
}

TEST_CASE("expired jobs are removed unless they are in a call")
{
    call_planner planner = make_planner(1);
    planner.add(make_job(1, 10, -4s));
    planner.add(make_job(2, 1, 1s));
    CHECK(planner.next_call(start)->pieces.size() == 1);
    const auto expired = planner.take_expired(start);
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].job.number == 1);
    CHECK(planner.take_expired(start + 60s).empty());
}

// Guards against a late request that makes the requests behind it late too.
TEST_CASE("requests that can be on time go before late ones")
{
    call_planner planner = make_planner(1);
    planner.add(make_job(1, 10, 50ms));
    planner.add(make_job(2, 10, 900ms));
    CHECK(planner.next_call(start)->pieces[0].job == 2);
}

// Guards against dropping the results of a started request because requests
// that are due later overtake it.
TEST_CASE("a started request goes before requests that are due later")
{
    call_planner planner = make_planner(1);
    stage_job started = make_job(1, 10, 50ms);
    started.is_started = true;
    planner.add(started);
    planner.add(make_job(2, 10, 900ms));
    CHECK(planner.next_call(start)->pieces[0].job == 1);
}

TEST_CASE("a request does not start if a downstream stage cannot take it")
{
    call_planner planner = make_planner(2);
    stage_job blocked = make_job(1, 4, 100ms);
    blocked.downstream = {{"later", 9}};
    planner.add(blocked);
    planner.add(make_job(2, 4, 900ms));
    downstream_estimates downstream;
    downstream.may_start = [](const stage_job& candidate, duration, bool)
    { return candidate.downstream.empty(); };
    const auto call = planner.next_call(start, downstream);
    REQUIRE(call);
    CHECK(call->pieces.size() == 4);
    CHECK(call->pieces[0].job == 2);
    CHECK_FALSE(planner.next_call(start, downstream));
    CHECK(planner.next_call(start));
}

TEST_CASE("lateness and expiry include the time of the downstream stages")
{
    call_planner planner = make_planner(1);
    stage_job slow = make_job(1, 10, 500ms);
    slow.downstream = {{"slow", 1}};
    planner.add(slow);
    planner.add(make_job(2, 10, 900ms));
    downstream_estimates downstream;
    downstream.remaining_time = [](const stage_job& candidate, duration, bool)
    { return candidate.number == 1 ? duration(400ms) : duration(100ms); };
    downstream.outlook = [](const std::string&) {
        return service_outlook{0ms, 0ms, 0ms, 400ms, 1};
    };
    CHECK(planner.next_call(start, downstream)->pieces[0].job == 2);
    CHECK(planner.take_expired(start + 3800ms, downstream).empty());
    CHECK(planner.take_expired(start + 3950ms, downstream).size() == 1);
}

// Guards against a less urgent request that takes the place of an urgent one
// because it is due earlier: in a burst the urgent one is then late.
TEST_CASE("jobs that can be on time start by urgency, then by due time")
{
    call_planner planner = make_planner(1);
    const auto add =
        [&planner](std::uint64_t number, urgency ranks, duration due)
    {
        stage_job added = make_job(number, 2, due);
        added.urgency = ranks;
        planner.add(added);
    };
    add(1, {1, 0}, 800ms);
    add(2, {0, 1}, 900ms);
    add(3, {0, 0}, 5s);
    add(4, {0, 0}, 4s);
    CHECK(start_order(planner) == std::vector<std::uint64_t>{4, 3, 2, 1});
}

// Guards against late requests that are served by due time alone: the urgent
// ones, which arrive in a burst, would wait behind all less urgent ones that
// are late already. Callers that were rejected before go first.
TEST_CASE("late jobs start last, by urgency, returning ones first")
{
    call_planner planner = make_planner(1);
    const auto add = [&planner](std::uint64_t number, urgency ranks,
                                bool is_returning, duration due)
    {
        stage_job added = make_job(number, 2, due);
        added.urgency = ranks;
        added.is_returning = is_returning;
        planner.add(added);
    };
    add(1, {0, 2}, true, 10ms);
    add(2, {0, 1}, false, 20ms);
    add(3, {0, 1}, true, 30ms);
    add(4, {0, 9}, false, 4s);
    CHECK(start_order(planner) == std::vector<std::uint64_t>{4, 3, 2, 1});
}

// Guards against a request of low priority that ends late although it started
// on time: at its next stage it waits behind requests of a higher priority that
// are due slightly later.
TEST_CASE("a started job goes before more urgent ones")
{
    call_planner planner = make_planner(1);
    stage_job started = make_job(1, 10, 800ms);
    started.urgency = {1, 1};
    started.is_started = true;
    planner.add(started);
    planner.add(make_job(2, 10, 1s));
    CHECK(planner.next_call(start)->pieces[0].job == 1);
}

// Guards against streams that are taken up and started late, in a call with
// space left, whose results expire behind work in time at later services.
TEST_CASE("a stream that is taken up goes on at later stages though it is late")
{
    for (const bool continues_stream : {false, true})
    {
        call_planner planner = make_planner(1);
        stage_job late = make_job(1, 6, 3s);
        late.is_started = true;
        late.is_late = true;
        late.continues_stream = continues_stream;
        planner.add(late);
        planner.add(make_job(2, 6, 3s));
        const auto call = planner.next_call(start);
        REQUIRE(call);
        CHECK(call->pieces.front().job == (continues_stream ? 1 : 2));
        downstream_estimates downstream;
        downstream.remaining_time = [](const stage_job&, duration,
                                       bool is_late) -> duration
        { return is_late ? 9s : 1s; };
        late.number = 3;
        planner.add(late);
        CHECK(planner.take_expired(start, downstream).empty() ==
              continues_stream);
    }
}

// Guards against streams that are refused with seconds left because a wait of
// seconds is forecast, as in the moment after the connections to all targets
// were reset.
TEST_CASE("a job of a stream in progress ends only when it can't be in time")
{
    call_planner planner = make_planner(1);
    stage_job job = make_job(1, 6, 3s);
    job.downstream = {{"later", 6}};
    job.continues_stream = true;
    planner.add(job);
    downstream_estimates downstream;
    downstream.remaining_time = [](const stage_job&, duration, bool)
    { return duration(30s); };
    downstream.least_time = [](const stage_job&) { return duration(400ms); };
    const instant latest = job.expires - profile().time_per_call - 400ms;
    CHECK(planner.take_expired(start, downstream).empty());
    CHECK(planner.take_expired(latest, downstream).empty());
    CHECK(planner.take_expired(latest + 1ms, downstream).size() == 1);
}

TEST_CASE("pieces of a cancelled job are not executed")
{
    call_planner planner = make_planner(1);
    planner.add(make_job(1, 3, 1s));
    planner.cancel(1);
    CHECK(planner.waiting_pieces() == 0);
    CHECK_FALSE(planner.next_call(start));
}

// Guards against requests that fail at the last step because a result is gone:
// a target makes a piece and crashes, restarts under the same id and is listed
// as before, and the planner assumes that it still has the result.
TEST_CASE("results of a target that restarted are produced again")
{
    call_planner planner(profile());
    planner.set_targets({{{"t0", 100}, "a"}});
    planner.add(make_job(1, 20, 1s));
    const auto first = planner.next_call(start);
    REQUIRE(first);
    complete_call(planner, *first, start);
    const std::size_t waiting = planner.waiting_pieces();
    REQUIRE(waiting > 0);
    planner.set_targets({{{"t0", 200}, "a"}});
    CHECK(planner.waiting_pieces() == waiting + first->pieces.size());
    CHECK(planner.stored_bytes() == 0);
    const auto next = planner.next_call(start);
    REQUIRE(next);
    CHECK(next->target == target_incarnation("t0", 200));
}

// A draining target keeps its results until it exits.
TEST_CASE("results of a target that is no longer listed are not produced again")
{
    call_planner planner(profile());
    planner.set_targets({{{"t0", 100}, "a"}, {{"t1", 100}, "a"}});
    planner.add(make_job(1, 20, 1s));
    const auto first = planner.next_call(start);
    REQUIRE(first);
    complete_call(planner, *first, start);
    const std::size_t waiting = planner.waiting_pieces();
    planner.set_targets({{{first->target.id == "t0" ? "t1" : "t0", 100}, "a"}});
    CHECK(planner.waiting_pieces() == waiting);
}

// Guards against requests that fail because of another request that crashes
// every target that runs it: their pieces share a call, the target crashes, and
// the responsible request is unknown. Repeated in one call, all fail again.
TEST_CASE("jobs of a call whose target crashed are not batched together again")
{
    call_planner planner = make_planner(2);
    for (std::uint64_t number = 1; number <= 5; ++number)
        planner.add(make_job(number, 2, 1s));
    const auto first = planner.next_call(start);
    REQUIRE(first);
    REQUIRE(first->pieces.size() == 10);
    const auto crash = [&planner](const planned_call& call)
    {
        planner.note_suspected_crash(call);
        planner.note_call_unanswered(call, start);
        for (const piece_ref& piece : call.pieces)
            planner.requeue_piece(piece);
    };
    crash(*first);
    const auto half = planner.next_call(start);
    REQUIRE(half);
    CHECK(half->pieces.size() <= 5);
    crash(*half);
    const instant after_backoff = start + 3s;
    std::size_t isolated_calls = 0;
    while (const auto call = planner.next_call(after_backoff))
    {
        const auto holds = [&call](std::uint64_t number)
        {
            return std::any_of(call->pieces.begin(), call->pieces.end(),
                               [number](const piece_ref& piece)
                               { return piece.job == number; });
        };
        std::size_t crashed_twice = 0;
        for (const piece_ref& piece : half->pieces)
            crashed_twice += holds(piece.job) ? 1 : 0;
        if (crashed_twice > 0)
        {
            CHECK(call->pieces.size() == 2);
            ++isolated_calls;
        }
        complete_call(planner, *call, after_backoff);
    }
    CHECK(isolated_calls == 2);
}
