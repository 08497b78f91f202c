#include "decision/engine_choice.hpp"
#include "decision/target_health.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const instant start{1h};

std::vector<listed_target> targets(std::size_t count)
{
    std::vector<listed_target> made;
    for (std::size_t one = 0; one < count; ++one)
        made.push_back({"t" + std::to_string(one), "s",
                        "10.0.0." + std::to_string(one) + ":80",
                        one % 2 == 0 ? "a" : "b", 4, false, one + 1});
    return made;
}

std::vector<const listed_target*>
pointers(const std::vector<listed_target>& all)
{
    std::vector<const listed_target*> found;
    for (const listed_target& one : all)
        found.push_back(&one);
    return found;
}

} // namespace

// Callers wait for a dead target again and again.
TEST_CASE("a target that stays silent twice is set aside, then tried again")
{
    target_health standing(1);
    const auto all = targets(2);
    for (int one = 0; one < 2; ++one)
    {
        standing.note_sent("t0");
        standing.note_no_answer("t0", start);
    }
    CHECK(standing.is_ejected("t0", start));
    for (int one = 0; one < 20; ++one)
        CHECK(standing.choose(pointers(all), {}, "a", start)->incarnation.id ==
              "t1");
    CHECK_FALSE(standing.is_ejected("t0", start + 250ms));
}

TEST_CASE("a target that turned slow gets less work")
{
    target_health standing(1);
    const auto all = targets(2);
    for (int one = 0; one < 20; ++one)
    {
        standing.note_sent("t0");
        standing.note_answered("t0", 200ms, false);
        standing.note_sent("t1");
        standing.note_answered("t1", 20ms, false);
    }
    for (int one = 0; one < 20; ++one)
        CHECK(standing.choose(pointers(all), {}, "a", start)->incarnation.id ==
              "t1");
}

// A target that was slow for some seconds gets next to nothing for the rest of
// the day; the others carry its share.
// 1. It is five times slower for a while. 2. Others are chosen. 3. It is well
// again, but nothing is sent there that would show it.
TEST_CASE("a target that was slow is found to be well again")
{
    target_health standing(1);
    auto all = targets(4);
    for (auto& one : all)
        one.zone = "a";
    const auto share_of_first = [&](int requests, duration takes)
    {
        int sent = 0;
        for (int one = 0; one < requests; ++one)
        {
            const auto id =
                standing.choose(pointers(all), {}, "a", start)->incarnation;
            const bool is_first = id.id == "t0";
            sent += is_first ? 1 : 0;
            standing.note_sent(id);
            standing.note_answered(id, is_first ? takes : 20ms, false);
        }
        return static_cast<double>(sent) / requests;
    };
    share_of_first(100, 20ms);
    share_of_first(20, 100ms);
    CHECK(share_of_first(500, 100ms) < 0.03); // The trials cost little.
    share_of_first(200, 20ms);
    CHECK(share_of_first(100, 20ms) > 0.1);
}

// One that may not be repeated is lost where the target still fails.
TEST_CASE("what may not be repeated tries no target that did badly")
{
    target_health standing(1);
    const auto all = targets(2);
    for (int one = 0; one < 20; ++one)
    {
        standing.note_sent("t0");
        standing.note_answered("t0", 20ms, true);
    }
    for (int one = 0; one < 200; ++one)
    {
        standing.note_sent("t1");
        standing.note_answered("t1", 20ms, false);
        CHECK(standing.choose(pointers(all), {}, "a", start, false)
                  ->incarnation.id == "t1");
    }
}

TEST_CASE("work in flight counts against a target")
{
    target_health standing(1);
    auto all = targets(3);
    for (auto& one : all)
        one.zone = "a";
    for (int one = 0; one < 30; ++one)
        standing.note_sent(
            standing.choose(pointers(all), {}, "a", start)->incarnation.id);
    for (const auto& one : all)
        CHECK(standing.in_flight(one.incarnation.id) >= 8);
}

TEST_CASE("a target that was tried is not chosen again")
{
    target_health standing(1);
    const auto all = targets(2);
    CHECK(standing.choose(pointers(all), {"t0"}, "a", start)->incarnation.id ==
          "t1");
    CHECK(standing.choose(pointers(all), {"t0", "t1"}, "a", start) == nullptr);
}

TEST_CASE("generations that share a part meet at one engine")
{
    engine_choice one_entry;
    engine_choice other_entry;
    const auto all = targets(8);
    const generation work{{{"common", 2000}, {"topic", 3000}, {"own", 500}},
                          {}};
    const auto* first = one_entry.choose(pointers(all), {}, work, "a", start);
    const auto* second =
        other_entry.choose(pointers(all), {}, work, "b", start);
    CHECK(first->incarnation.id == second->incarnation.id);
    one_entry.note_sent(first->incarnation.id, work, start);
    CHECK(one_entry.uncached(first->incarnation.id, work, start + 1s) == 0);
    CHECK(one_entry.uncached(first->incarnation.id, work, start + 60s) == 5500);
}

// All requests about one popular topic go to one engine, and wait there.
TEST_CASE("a popular part spreads over engines before one is overrun")
{
    engine_choice choice;
    const auto all = targets(8);
    std::set<std::string> used;
    for (int one = 0; one < 40; ++one)
    {
        const generation work{{{"common", 2000},
                               {"topic", 3000},
                               {"own" + std::to_string(one), 2000}},
                              {}};
        const auto* chosen = choice.choose(pointers(all), {}, work, "a", start);
        choice.note_sent(chosen->incarnation.id, work, start);
        used.insert(chosen->incarnation.id);
    }
    CHECK(used.size() >= 4);
}

TEST_CASE("large results draw the generation into their zone")
{
    engine_choice choice;
    const auto all = targets(8);
    const generation work{{{"own", 500}}, {{"b", 8U << 20U}}};
    CHECK(choice.choose(pointers(all), {}, work, "a", start)->zone == "b");
}

// After its crash a target gets no work for long, or is taken for warm.
// 1. It stays silent, and is set aside; its parts of prompts are believed to
// be kept. 2. It starts again under its id. 3. Both were remembered by id.
TEST_CASE("nothing is believed of a target that started again under its id")
{
    target_health standing(1);
    const target_incarnation before("t0", 100);
    const target_incarnation after("t0", 200);
    for (int one = 0; one < 2; ++one)
    {
        standing.note_sent(before);
        standing.note_no_answer(before, start);
    }
    CHECK(standing.is_ejected(before, start));
    CHECK_FALSE(standing.is_ejected(after, start));
    CHECK(standing.in_flight(after) == 0);

    engine_choice engines;
    generation work;
    work.prompt = {{"shared", 1000}, {"own", 10}};
    engines.note_sent(before, work, start);
    CHECK(engines.uncached(before, work, start) <
          engines.uncached(after, work, start));
}
