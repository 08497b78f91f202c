#include "decision/admission_queue.hpp"
#include "decision/in_progress_limit.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

queued_work work(std::uint64_t id, work_class priority,
                 const std::string& account = "desk", std::uint32_t weight = 1)
{
    return {id, priority, account, weight, instant{10s}};
}

} // namespace

TEST_SUITE("admission queue")
{
    TEST_CASE("bulk work leaves slots free for urgent work")
    {
        // Guards against a burst of long bulk runs that takes every slot, so
        // that urgent work has to wait for a bulk run to end.
        admission_queue queue({2, 0, 64});
        constexpr std::size_t slots = 4;
        for (std::uint64_t id = 1; id <= 10; ++id)
            queue.push(work(id, work_class::bulk), instant{}, slots, 1s);
        std::size_t started = 0;
        while (const auto next = queue.pop(instant{}, slots))
        {
            queue.run_started(next->priority);
            ++started;
        }
        CHECK(started == 2);
        queue.push(work(99, work_class::urgent), instant{}, slots, 10ms);
        const auto next = queue.pop(instant{}, slots);
        REQUIRE(next);
        CHECK(next->id == 99);
    }

    TEST_CASE("slots of a class are shared by account weight")
    {
        admission_queue queue({0, 0, 64});
        for (std::uint64_t id = 1; id <= 20; ++id)
            queue.push(work(id, work_class::bulk, "batch", 1), instant{}, 1,
                       1ms);
        for (std::uint64_t id = 21; id <= 28; ++id)
            queue.push(work(id, work_class::bulk, "desk", 4), instant{}, 1,
                       1ms);
        std::size_t desk_count = 0;
        for (int taken = 0; taken < 10; ++taken)
            desk_count += queue.pop(instant{}, 1)->account == "desk" ? 1 : 0;
        CHECK(desk_count >= 7);
        CHECK(desk_count <= 8);
    }

    TEST_CASE("work that cannot meet its deadline is refused at once")
    {
        admission_queue queue({0, 0, 64});
        queue.run_started(work_class::standard);
        CHECK(queue.push(work(1, work_class::standard), instant{}, 1, 6s) ==
              reason::too_late);
        CHECK(queue.push(work(2, work_class::standard), instant{}, 1, 4s) ==
              reason::none);
    }

    TEST_CASE("work is refused if the queue of its class is full")
    {
        admission_queue queue({0, 0, 1});
        CHECK(queue.push(work(1, work_class::bulk), instant{}, 1, 0s) ==
              reason::none);
        CHECK(queue.push(work(2, work_class::bulk), instant{}, 1, 0s) ==
              reason::queue_full);
        CHECK(queue.push(work(3, work_class::urgent), instant{}, 1, 0s) ==
              reason::none);
    }

    TEST_CASE("expired work is never started")
    {
        admission_queue queue({0, 0, 8});
        queue.push(work(1, work_class::bulk), instant{}, 1, 0s);
        CHECK_FALSE(queue.pop(instant{10s}, 1));
        CHECK(queue.take_expired(instant{10s}).size() == 1);
        CHECK(queue.size() == 0);
    }
}

TEST_SUITE("in progress limit")
{
    TEST_CASE("a burst of bulk requests leaves room for urgent requests")
    {
        in_progress_limit limit(10);
        int taken = 0;
        while (limit.try_acquire(work_class::bulk))
            ++taken;
        CHECK(taken == 6);
        CHECK(limit.try_acquire(work_class::standard));
        CHECK(limit.try_acquire(work_class::standard));
        CHECK_FALSE(limit.try_acquire(work_class::standard));
        CHECK(limit.try_acquire(work_class::urgent));
        CHECK(limit.try_acquire(work_class::urgent));
        CHECK_FALSE(limit.try_acquire(work_class::urgent));
        limit.release(work_class::bulk);
        CHECK(limit.try_acquire(work_class::urgent));
    }
}
