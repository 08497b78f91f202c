#include "decision/stages/planner_support.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::decision;
using namespace mangofold::test;
using namespace std::chrono_literals;

namespace
{

/// A planner with one target that has a queue, its first call (300 ms) sent at
/// the start, and \a jobs further jobs that fill a call each.
struct busy_planner
{
    explicit busy_planner(std::uint64_t jobs, std::uint32_t queue = 1)
        : planner(make_planner(1, queue))
    {
        for (std::uint64_t number = 1; number <= jobs + 1; ++number)
            planner.add(make_job(number, 10, 600s));
        const auto call = planner.next_call(start);
        REQUIRE(call);
        current = *call;
    }

    planned_call send_ahead(instant now)
    {
        const auto call = planner.next_call(now);
        REQUIRE(call);
        CHECK(call->is_ahead);
        CHECK(planner.is_queued(*call));
        return *call;
    }

    call_planner planner;
    planned_call current;
};

} // namespace

// Guards against targets that are idle for a round trip between two calls.
// Load: a backlog of several calls.
TEST_CASE("in a backlog the next call is sent shortly before the current ends")
{
    busy_planner busy(3);
    CHECK_FALSE(busy.planner.next_call(start + 269ms));
    const auto ahead = busy.send_ahead(start + 280ms);
    // It waits for 20 ms, then takes 300 ms.
    CHECK(ahead.expected_time == 320ms);
    CHECK_FALSE(busy.planner.next_call(start + 290ms));
    answer(busy.planner, busy.current, 300ms, start + 300ms);
    CHECK_FALSE(busy.planner.is_queued(ahead));
    CHECK_FALSE(busy.planner.next_call(start + 310ms));
    answer(busy.planner, ahead, 320ms, start + 600ms);
    CHECK(busy.planner.average_call_time() == 300ms);
    CHECK(busy.planner.next_call(start + 600ms));
}

TEST_CASE("no call is sent ahead without a queue or pieces for a whole call")
{
    busy_planner no_queue(3, 0);
    CHECK_FALSE(no_queue.planner.next_call(start + 280ms));
    busy_planner no_backlog(0);
    no_backlog.planner.add(make_job(7, 9, 600s));
    CHECK_FALSE(no_backlog.planner.next_call(start + 280ms));
    CHECK(no_backlog.planner.waiting_pieces() == 9);
}

// Guards against pieces that are held by a call ahead although they could share
// a call with others: enough pieces wait, but most may not start yet.
TEST_CASE("a call ahead is not sent with a few pieces")
{
    busy_planner busy(3);
    downstream_estimates downstream;
    downstream.may_start = [](const stage_job& job, duration, bool)
    { return job.pieces < 10; };
    busy.planner.add(make_job(9, 4, 600s));
    CHECK_FALSE(busy.planner.next_call(start + 280ms, downstream));
    CHECK(busy.planner.waiting_pieces() == 34);
}

// Guards against pieces that wait for a target that has become slow.
TEST_CASE("no call is sent behind one that takes longer than expected")
{
    busy_planner busy(3);
    CHECK_FALSE(busy.planner.next_call(start + 320ms));
}

// Guards against jobs that lose time, and a target that gets no calls, since a
// call ahead was refused: the target did not run it and goes on with its
// current call.
TEST_CASE("a refused call ahead costs nothing")
{
    busy_planner busy(3);
    const auto ahead = busy.send_ahead(start + 280ms);
    busy.planner.note_call_failed(ahead, true, start + 290ms);
    for (const piece_ref& piece : ahead.pieces)
        busy.planner.requeue_piece(piece);
    CHECK_FALSE(busy.planner.next_call(start + 291ms));
    answer(busy.planner, busy.current, 300ms, start + 300ms);
    const auto next = busy.planner.next_call(start + 300ms);
    REQUIRE(next);
    CHECK_FALSE(next->is_ahead);
    CHECK(jobs_of(*next) == jobs_of(ahead));
    // The target gets no calls ahead for a while.
    CHECK_FALSE(busy.planner.next_call(start + 590ms));
}

// The same if the refusal arrives after the answer to the current call.
TEST_CASE("a call ahead that is refused late leaves its target free")
{
    busy_planner busy(3);
    const auto ahead = busy.send_ahead(start + 280ms);
    answer(busy.planner, busy.current, 300ms, start + 300ms);
    busy.planner.note_call_failed(ahead, true, start + 305ms);
    for (const piece_ref& piece : ahead.pieces)
        busy.planner.requeue_piece(piece);
    CHECK(busy.planner.next_call(start + 305ms));
}

// Guards against requests that count as possible causes of a crash although
// their call had not begun.
TEST_CASE("a call behind one that is lost has not begun")
{
    busy_planner busy(3);
    const auto ahead = busy.send_ahead(start + 280ms);
    CHECK(busy.planner.may_have_begun(busy.current));
    busy.planner.note_call_unanswered(busy.current, start + 290ms);
    CHECK_FALSE(busy.planner.may_have_begun(ahead));
    busy.planner.note_call_unanswered(ahead, start + 290ms);
    CHECK_FALSE(busy.planner.next_call(start + 291ms));
}

TEST_CASE("a call ahead may have begun once the one before it was answered")
{
    busy_planner busy(3);
    const auto ahead = busy.send_ahead(start + 280ms);
    CHECK_FALSE(busy.planner.may_have_begun(ahead));
    answer(busy.planner, busy.current, 300ms, start + 300ms);
    CHECK(busy.planner.may_have_begun(ahead));
}

// Load: a backlog of two hundred calls before one target.
TEST_CASE("in a backlog a target with a queue is never idle")
{
    call_planner planner = make_planner(1, 1);
    for (std::uint64_t number = 1; number <= 200; ++number)
    {
        stage_job job = make_job(number, 10, 6000s);
        job.result_bytes = 0;
        planner.add(job);
    }
    std::vector<std::pair<planned_call, instant>> sent;
    instant now = start;
    instant current_began = start;
    std::size_t most = 0;
    for (; now < start + 12s; now += 10ms)
    {
        if (!sent.empty() && now >= current_began + 300ms)
        {
            answer(planner, sent[0].first, now - sent[0].second, now);
            sent.erase(sent.begin());
            current_began = now;
        }
        while (const auto call = planner.next_call(now))
        {
            if (sent.empty())
                current_began = now;
            sent.emplace_back(*call, now);
        }
        CHECK_FALSE(sent.empty());
        most = std::max(most, sent.size());
    }
    CHECK(most == 2);
    CHECK(planner.average_call_time() == 300ms);
}
