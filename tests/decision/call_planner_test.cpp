#include "decision/call_planner.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace mangofold;
using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const instant start{1h};

/// One slot, ten pieces a call, 200 ms a call and 10 ms a piece, room for
/// thirty pieces of 1,000 bytes.
catalog::call_shape shape()
{
    return {1, 2, 10, 200ms, 10ms, 31000, 4s};
}

piece_job job(std::uint64_t number, std::uint32_t pieces, duration due)
{
    piece_job one;
    one.number = number;
    one.request = "r" + std::to_string(number);
    one.pieces = pieces;
    one.result_bytes = 1000;
    one.due = start + due;
    one.expires = start + due + 4s;
    return one;
}

call_planner planner(int targets)
{
    call_planner made(shape());
    std::map<target_incarnation, std::string> zones;
    for (int one = 0; one < targets; ++one)
        zones["t" + std::to_string(one)] = "a";
    made.set_targets(zones);
    return made;
}

void make_all(call_planner& made, const planned_call& call, instant now)
{
    made.call_done(call, call.expected, now);
    for (const piece_ref& one : call.pieces)
        made.piece_made(one, call.target,
                        call.target.id + "/" + std::to_string(one.job) + "." +
                            std::to_string(one.piece),
                        now);
}

} // namespace

TEST_CASE("pieces of many requests share a call, the earliest due first")
{
    call_planner made = planner(1);
    made.add(job(1, 4, 3s));
    made.add(job(2, 4, 1s));
    made.add(job(3, 4, 2s));
    const auto call = made.next_call(start);
    REQUIRE(call);
    CHECK(call->pieces.size() == 8);
    CHECK(made.waiting_pieces() == 4);
    CHECK(call->expected == 280ms);
    for (const piece_ref& one : call->pieces)
        CHECK(one.job != 1);
    CHECK_FALSE(made.next_call(start));
}

TEST_CASE("a job goes into one call where it can, smaller ones fill the rest")
{
    call_planner made = planner(1);
    made.add(job(1, 8, 1s));
    made.add(job(2, 5, 2s));
    made.add(job(3, 2, 3s));
    const auto call = made.next_call(start);
    REQUIRE(call);
    CHECK(call->pieces.size() == 10);
    CHECK(made.find(2) != nullptr);
    CHECK(made.waiting_pieces() == 5);
}

// Results of megabytes cross zones although targets of the right zone are idle.
// 1. Jobs come one by one, each to be used in zone b. 2. The first free target
// is in zone a. 3. All are made there.
TEST_CASE("a job waits a little for a target of its zone")
{
    call_planner made(shape());
    made.set_targets({{"t0", "a"}, {"t1", "b"}});
    const auto of_zone_b = [](std::uint64_t number)
    {
        piece_job one = job(number, 4, 3s);
        one.zone = "b";
        one.asked_at = start;
        return one;
    };
    made.add(of_zone_b(1));
    const auto first = made.next_call(start);
    REQUIRE(first);
    CHECK(first->target == "t1");
    // t1 is free again after 240 ms, which is too long to wait.
    made.add(of_zone_b(2));
    CHECK(made.next_call(start + 10ms)->target == "t0");
    made.call_done(*first, 240ms, start + 240ms);
    made.add(of_zone_b(3));
    CHECK(made.next_call(start + 240ms)->target == "t1");
}

TEST_CASE("a job does not wait for a zone where no target is free soon")
{
    call_planner made(shape());
    made.set_targets({{"t0", "a"}, {"t1", "b"}});
    piece_job one = job(1, 4, 3s);
    one.zone = "b";
    one.asked_at = start;
    planned_call lost;
    lost.target = "t1";
    made.call_failed(lost, false, start);
    made.add(one);
    REQUIRE(made.next_call(start));
}

// For seconds after a reset of connections calls come back without room.
// 1. A call is made and its answer is lost. 2. Its results lie at the target,
// and nobody knows their names. 3. More calls are made there than fit.
TEST_CASE("what a lost call may have made takes room until its time is over")
{
    call_planner made = planner(1);
    for (std::uint64_t one = 1; one <= 3; ++one)
    {
        made.add(job(one, 10, 9s));
        const auto call = made.next_call(start + one * 1s);
        REQUIRE(call);
        made.call_lost(*call, start + one * 1s);
        made.cancel(one);
    }
    made.add(job(4, 10, 9s));
    CHECK_FALSE(made.next_call(start + 4s + 500ms));
    CHECK(made.next_call(start + 5s));
}

TEST_CASE("a job that no call can hold is split")
{
    call_planner made = planner(2);
    made.add(job(1, 14, 1s));
    CHECK(made.next_call(start)->pieces.size() == 10);
    CHECK(made.next_call(start)->pieces.size() == 4);
}

TEST_CASE("a job ends with its results in the order of its pieces")
{
    call_planner made = planner(1);
    made.add(job(1, 3, 1s));
    const auto call = made.next_call(start);
    make_all(made, *call, start + 230ms);
    const auto done = made.take_finished();
    REQUIRE(done.size() == 1);
    CHECK(done[0].handles ==
          std::vector<std::string>{"t0/1.0", "t0/1.1", "t0/1.2"});
    CHECK(made.waiting_jobs() == 0);
}

// Callers wait for pieces that the target cannot keep.
// 1. Results fill a target's room. 2. The next call is made there all the
// same. 3. Its time is spent, and most pieces come back without room.
TEST_CASE("no call is made for which the target has no room")
{
    call_planner made = planner(1);
    for (std::uint64_t one = 1; one <= 3; ++one)
    {
        made.add(job(one, 10, 1s));
        const auto call = made.next_call(start);
        REQUIRE(call);
        make_all(made, *call, start + 300ms);
        made.take_finished();
    }
    made.add(job(4, 10, 1s));
    CHECK_FALSE(made.next_call(start + 300ms));
    for (int piece = 0; piece < 10; ++piece)
        made.released("t0", "t0/1." + std::to_string(piece));
    CHECK(made.next_call(start + 300ms));
    // What nobody lets go of ends by itself.
    made.add(job(5, 10, 6s));
    CHECK(made.next_call(start + 5s) == std::nullopt);
    planned_call other;
    other.target = "t0";
    made.call_done(other, 200ms, start + 5s);
    CHECK(made.next_call(start + 5s));
}

// A caller's request waits a second and a half for a call of one slow target.
// 1. A target turns five times slower. 2. It is free, others are busy for
// some 100 ms. 3. A call made there comes back later than one made after
// waiting for the others.
TEST_CASE("a slow target is passed over where waiting is quicker")
{
    call_planner made = planner(2);
    made.add(job(1, 10, 1s));
    const auto first = made.next_call(start);
    made.call_done(*first, 1500ms, start + 1500ms);
    for (const piece_ref& one : first->pieces)
        made.piece_lost(one);
    made.call_done(*first, 1500ms, start + 1500ms);
    const auto second = made.next_call(start + 1500ms);
    REQUIRE(second);
    CHECK(second->target != first->target);
    made.add(job(2, 10, 2s));
    CHECK_FALSE(made.next_call(start + 1500ms));
}

// A service has half its targets although all are well again.
// 1. A target turns slow, and is passed over. 2. It is quick again. 3. Nobody
// notices, since nothing is sent there any more.
TEST_CASE("a target that was slow is tried with one job, and used again")
{
    call_planner made = planner(2);
    made.add(job(1, 10, 1s));
    const auto slow = made.next_call(start);
    made.call_done(*slow, 1500ms, start);
    for (const piece_ref& one : slow->pieces)
        made.piece_lost(one);
    const auto quick = made.next_call(start);
    REQUIRE(quick->target != slow->target);
    made.add(job(2, 4, 20s));
    made.add(job(3, 4, 40s));
    CHECK_FALSE(made.next_call(start + 100ms));
    const auto trial = made.next_call(start + 1s);
    REQUIRE(trial);
    CHECK(trial->target == slow->target);
    CHECK(trial->pieces.size() == 4);
    CHECK(trial->pieces[0].job == 3);
    made.call_done(*trial, 240ms, start + 1240ms);
    made.add(job(4, 4, 4s));
    const auto again = made.next_call(start + 1240ms);
    REQUIRE(again);
    CHECK(again->target == slow->target);
}

TEST_CASE("a target that failed is left alone, longer each time")
{
    call_planner made = planner(1);
    made.add(job(1, 1, 9s));
    auto call = made.next_call(start);
    made.piece_lost(call->pieces[0]);
    made.call_failed(*call, false, start);
    CHECK_FALSE(made.next_call(start + 199ms));
    call = made.next_call(start + 200ms);
    REQUIRE(call);
    made.piece_lost(call->pieces[0]);
    made.call_failed(*call, false, start + 200ms);
    CHECK_FALSE(made.next_call(start + 599ms));
    CHECK(made.next_call(start + 600ms));
}

TEST_CASE("jobs whose time is over end, unless a call is making them")
{
    call_planner made = planner(1);
    made.add(job(1, 10, -4s));
    made.add(job(2, 1, 1s));
    CHECK(made.next_call(start)->pieces.size() == 1);
    const auto late = made.take_expired(start);
    REQUIRE(late.size() == 1);
    CHECK(late[0].job.number == 1);
    CHECK(made.take_expired(start + 60s).empty());
}

// A request that is late already keeps others from being in time.
TEST_CASE("what can still be in time goes before what is late")
{
    call_planner made = planner(1);
    made.add(job(1, 10, 50ms));
    made.add(job(2, 10, 900ms));
    CHECK(made.next_call(start)->pieces[0].job == 2);
}

// What was made for a request is dropped, since later ones overtake it.
TEST_CASE("a request that was begun in time goes on before later ones")
{
    call_planner made = planner(1);
    piece_job begun = job(1, 10, 50ms);
    begun.is_begun = true;
    made.add(begun);
    made.add(job(2, 10, 900ms));
    CHECK(made.next_call(start)->pieces[0].job == 1);
}

TEST_CASE("a request does not begin where a later stage can't take it")
{
    call_planner made = planner(2);
    piece_job full = job(1, 4, 100ms);
    full.later = {{"later", 9}};
    made.add(full);
    made.add(job(2, 4, 900ms));
    outlook later;
    later.may_begin = [](const piece_job& one, duration)
    { return one.later.empty(); };
    const auto call = made.next_call(start, later);
    REQUIRE(call);
    CHECK(call->pieces.size() == 4);
    CHECK(call->pieces[0].job == 2);
    CHECK_FALSE(made.next_call(start, later));
    CHECK(made.next_call(start));
}

TEST_CASE("time for the later stages counts when a request is late or over")
{
    call_planner made = planner(1);
    made.add(job(1, 10, 500ms));
    made.add(job(2, 10, 900ms));
    outlook later;
    later.time_after = [](const piece_job& one, duration, bool)
    { return one.number == 1 ? duration(400ms) : duration(100ms); };
    CHECK(made.next_call(start, later)->pieces[0].job == 2);
    CHECK(made.take_expired(start + 3800ms, later).empty());
    CHECK(made.take_expired(start + 3950ms, later).size() == 1);
}

TEST_CASE("the less urgent is served as if due later")
{
    call_planner made = planner(1);
    piece_job patient = job(1, 10, 800ms);
    patient.yields = 300ms;
    made.add(patient);
    made.add(job(2, 10, 1s));
    CHECK(made.next_call(start)->pieces[0].job == 2);
}

// A less urgent request ends late although it began in time.
// 1. It began when it was due to. 2. At its next stage more urgent ones wait
// that are due a little later. 3. It waits behind them.
TEST_CASE("one that has begun does not yield any more")
{
    call_planner made = planner(1);
    piece_job begun = job(1, 10, 800ms);
    begun.yields = 300ms;
    begun.is_begun = true;
    made.add(begun);
    made.add(job(2, 10, 1s));
    CHECK(made.next_call(start)->pieces[0].job == 1);
}

TEST_CASE("the pieces of a job that nobody wants are not made")
{
    call_planner made = planner(1);
    made.add(job(1, 3, 1s));
    made.cancel(1);
    CHECK(made.waiting_pieces() == 0);
    CHECK_FALSE(made.next_call(start));
}

// Requests fail at the last step: their results are nowhere.
// 1. A target makes a piece of a job and crashes. 2. It starts again under its
// id, and is listed as before. 3. The gatherer believed the result to be there.
TEST_CASE("what a former start of a target made is made again")
{
    call_planner made(shape());
    made.set_targets({{{"t0", 100}, "a"}});
    made.add(job(1, 20, 1s));
    const auto first = made.next_call(start);
    REQUIRE(first);
    make_all(made, *first, start);
    const std::size_t waiting = made.waiting_pieces();
    REQUIRE(waiting > 0);
    made.set_targets({{{"t0", 200}, "a"}});
    CHECK(made.waiting_pieces() == waiting + first->pieces.size());
    CHECK(made.kept_bytes() == 0);
    const auto next = made.next_call(start);
    REQUIRE(next);
    CHECK(next->target == target_incarnation("t0", 200));
}

// A target that leaves keeps what it made until it is gone.
TEST_CASE("what a target that left has made is not made again")
{
    call_planner made(shape());
    made.set_targets({{{"t0", 100}, "a"}, {{"t1", 100}, "a"}});
    made.add(job(1, 20, 1s));
    const auto first = made.next_call(start);
    REQUIRE(first);
    make_all(made, *first, start);
    const std::size_t waiting = made.waiting_pieces();
    made.set_targets({{{first->target.id == "t0" ? "t1" : "t0", 100}, "a"}});
    CHECK(made.waiting_pieces() == waiting);
}

// Requests lose their pieces to one that ends each target that begins it.
// 1. Their pieces share a call with its own. 2. The target ends, and which of
// them did it is not known. 3. Made again together, all of them lose again.
TEST_CASE("pieces whose target ended are not all made together again")
{
    call_planner made = planner(2);
    for (std::uint64_t one = 1; one <= 5; ++one)
        made.add(job(one, 2, 1s));
    const auto first = made.next_call(start);
    REQUIRE(first);
    REQUIRE(first->pieces.size() == 10);
    const auto lose = [&made](const planned_call& call)
    {
        made.note_target_ended(call);
        made.call_lost(call, start);
        for (const piece_ref& one : call.pieces)
            made.piece_lost(one);
    };
    lose(*first);
    const auto half = made.next_call(start);
    REQUIRE(half);
    CHECK(half->pieces.size() <= 5);
    lose(*half);
    const instant later = start + 3s;
    std::size_t alone = 0;
    while (const auto call = made.next_call(later))
    {
        const auto holds = [&call](std::uint64_t number)
        {
            return std::any_of(call->pieces.begin(), call->pieces.end(),
                               [number](const piece_ref& one)
                               { return one.job == number; });
        };
        std::size_t twice = 0;
        for (const piece_ref& one : half->pieces)
            twice += holds(one.job) ? 1 : 0;
        if (twice > 0)
        {
            CHECK(call->pieces.size() == 2);
            ++alone;
        }
        make_all(made, *call, later);
    }
    CHECK(alone == 2);
}
