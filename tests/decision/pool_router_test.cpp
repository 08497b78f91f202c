#include "decision/pool_router.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

using router = pool_router<least_expected_of_few>;

const stage_result failure{
    stage_status::failed, reason::target_failed, {}, {}, {}, false};

router make_router(const std::vector<target_place>& places)
{
    router made("z1", least_expected_of_few{}, aside_policy{}, 1);
    made.set_targets(places);
    for (const target_place& one : places)
    {
        made.link_opened(one.id, instant{});
        made.load_reported(one.id, {0, {}, 4, 10ms, {}});
    }
    return made;
}

std::map<std::string, int> picks(router& from, int count, instant now)
{
    std::map<std::string, int> taken;
    for (int turn = 0; turn < count; ++turn)
        ++taken[from.pick(work_class::urgent, {}, now).value_or("none")];
    return taken;
}

} // namespace

TEST_SUITE("pool router")
{
    TEST_CASE("stays in its zone while the zone has room, then spills over")
    {
        router from = make_router({{"a", "z1"}, {"b", "z2"}});
        CHECK(picks(from, 20, instant{})["a"] == 20);
        for (int sent = 0; sent < 12; ++sent)
            from.attempt_sent("a", work_class::urgent);
        CHECK(picks(from, 20, instant{})["b"] == 20);
    }

    TEST_CASE("what was sent since the report counts")
    {
        // Reports lag. Ten requests come between two reports; without its
        // own count the entry would send all of them to the same target.
        router from = make_router({{"a", "z1"}, {"b", "z1"}});
        for (int sent = 0; sent < 10; ++sent)
            from.attempt_sent(*from.pick(work_class::urgent, {}, instant{}),
                              work_class::urgent);
        CHECK(from.targets().at("a").in_flight[0] >= 4);
        CHECK(from.targets().at("b").in_flight[0] >= 4);
    }

    TEST_CASE("a queue of drafts does not count for a seat hold")
    {
        // A hundred drafts wait at the only target. They wait behind a seat
        // hold, so the expected time of the seat hold stays short.
        router from = make_router({{"a", "z1"}});
        from.load_reported("a", {4, {0, 0, 100}, 4, 10ms, {12ms, 12ms, 400ms}});
        CHECK(from.expected(work_class::urgent, instant{}) < 30ms);
        CHECK(from.expected(work_class::bulk, instant{}) > 300ms);
    }

    TEST_CASE("a failing target is set aside and tried again later")
    {
        router from = make_router({{"a", "z1"}, {"b", "z1"}, {"c", "z1"}});
        for (int turn = 0; turn < 3; ++turn)
            from.attempt_ended("a", work_class::urgent, failure, instant{});
        CHECK(picks(from, 30, instant{})["a"] == 0);
        // One attempt probes it; until that ended, no second one does.
        CHECK(picks(from, 60, instant{1s})["a"] == 1);
        from.attempt_ended("a", work_class::urgent,
                           {stage_status::done, {}, {}, {}, {}, false},
                           instant{1s});
        CHECK(picks(from, 60, instant{1s})["a"] > 5);
    }

    TEST_CASE("never so many are set aside that the rest drown")
    {
        // Two of three targets fail. The third would get three times its
        // load and fail too; so all of them take their share.
        router from = make_router({{"a", "z1"}, {"b", "z1"}, {"c", "z1"}});
        for (int turn = 0; turn < 3; ++turn)
        {
            from.attempt_ended("a", work_class::urgent, failure, instant{});
            from.attempt_ended("b", work_class::urgent, failure, instant{});
        }
        const auto taken = picks(from, 90, instant{});
        CHECK(taken.at("a") > 10);
        CHECK(taken.at("b") > 10);
        CHECK(taken.at("c") > 10);
    }

    TEST_CASE("targets without a stream, or leaving, get nothing")
    {
        router from = make_router({{"a", "z1"}, {"b", "z1"}});
        from.link_closed("a");
        CHECK(picks(from, 10, instant{})["b"] == 10);
        from.target_left("b");
        CHECK_FALSE(from.pick(work_class::urgent, {}, instant{}));
    }
}
