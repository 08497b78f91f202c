#include "decision/pool_router.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

using router = pool_router<two_choice_selection>;

const stage_result failure{
    stage_status::failed, reason::target_failed, {}, {}, {}, false};

router make_router(const std::vector<target_location>& locations)
{
    router result("z1", two_choice_selection{}, ejection_policy{}, 1);
    result.set_targets(locations);
    for (const target_location& location : locations)
    {
        result.link_opened(location.id, instant{});
        result.load_reported(location.id, {0, {}, 4, 10ms, {}});
    }
    return result;
}

std::map<std::string, int> count_picks(router& pool, int count, instant now)
{
    std::map<std::string, int> counts;
    for (int index = 0; index < count; ++index)
        ++counts[pool.pick(work_class::urgent, {}, now).value_or("none")];
    return counts;
}

} // namespace

TEST_SUITE("pool router")
{
    TEST_CASE("work stays in its zone until the zone is full, then spills over")
    {
        router pool = make_router({{"a", "z1"}, {"b", "z2"}});
        CHECK(count_picks(pool, 20, instant{})["a"] == 20);
        for (int sent = 0; sent < 12; ++sent)
            pool.attempt_sent("a", work_class::urgent);
        CHECK(count_picks(pool, 20, instant{})["b"] == 20);
    }

    TEST_CASE("attempts sent since the last load report are counted")
    {
        // Guards against stale load reports: without its own count, an entry
        // would send all ten requests between two reports to one target.
        router pool = make_router({{"a", "z1"}, {"b", "z1"}});
        for (int sent = 0; sent < 10; ++sent)
            pool.attempt_sent(*pool.pick(work_class::urgent, {}, instant{}),
                              work_class::urgent);
        CHECK(pool.targets().at("a").in_flight[0] >= 4);
        CHECK(pool.targets().at("b").in_flight[0] >= 4);
    }

    TEST_CASE("queued bulk work does not delay urgent work")
    {
        // A hundred bulk runs are queued at the only target. Urgent work goes
        // first, so its expected latency stays short.
        router pool = make_router({{"a", "z1"}});
        pool.load_reported("a", {4, {0, 0, 100}, 4, 10ms, {12ms, 12ms, 400ms}});
        CHECK(pool.expected_latency(work_class::urgent, instant{}) < 30ms);
        CHECK(pool.expected_latency(work_class::bulk, instant{}) > 300ms);
    }

    TEST_CASE("a failing target is ejected and probed later")
    {
        router pool = make_router({{"a", "z1"}, {"b", "z1"}, {"c", "z1"}});
        for (int index = 0; index < 3; ++index)
            pool.attempt_ended("a", work_class::urgent, failure, instant{});
        CHECK(count_picks(pool, 30, instant{})["a"] == 0);
        // One attempt probes the target. No second attempt is sent there until
        // the probe has ended.
        CHECK(count_picks(pool, 60, instant{1s})["a"] == 1);
        pool.attempt_ended("a", work_class::urgent,
                           {stage_status::done, {}, {}, {}, {}, false},
                           instant{1s});
        CHECK(count_picks(pool, 60, instant{1s})["a"] > 5);
    }

    TEST_CASE("no target is ejected if most of the pool fails")
    {
        // Guards against ejecting two failing targets of three: the third would
        // get three times its load and fail too.
        router pool = make_router({{"a", "z1"}, {"b", "z1"}, {"c", "z1"}});
        for (int index = 0; index < 3; ++index)
        {
            pool.attempt_ended("a", work_class::urgent, failure, instant{});
            pool.attempt_ended("b", work_class::urgent, failure, instant{});
        }
        const auto counts = count_picks(pool, 90, instant{});
        CHECK(counts.at("a") > 10);
        CHECK(counts.at("b") > 10);
        CHECK(counts.at("c") > 10);
    }

    TEST_CASE("targets without a link and leaving targets get no work")
    {
        router pool = make_router({{"a", "z1"}, {"b", "z1"}});
        pool.link_closed("a");
        CHECK(count_picks(pool, 10, instant{})["b"] == 10);
        pool.target_left("b");
        CHECK_FALSE(pool.pick(work_class::urgent, {}, instant{}));
    }
}
