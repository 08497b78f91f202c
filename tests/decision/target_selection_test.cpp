#include "decision/engines/engine_selector.hpp"
#include "decision/target_health.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const instant start{1h};

std::vector<listed_target> targets(std::size_t count)
{
    std::vector<listed_target> result;
    for (std::size_t index = 0; index < count; ++index)
        result.push_back({"t" + std::to_string(index), "s",
                          "10.0.0." + std::to_string(index) + ":80",
                          index % 2 == 0 ? "a" : "b", 4, false, index + 1});
    return result;
}

std::vector<const listed_target*>
pointers(const std::vector<listed_target>& all)
{
    std::vector<const listed_target*> result;
    for (const listed_target& target : all)
        result.push_back(&target);
    return result;
}

} // namespace

// Guards against callers that wait for the same unreachable target again and
// again.
TEST_CASE("a target that does not answer twice is avoided, then tried again")
{
    target_health health(1);
    const auto all = targets(2);
    for (int repeat = 0; repeat < 2; ++repeat)
    {
        health.note_sent("t0");
        health.note_no_answer("t0", start);
    }
    CHECK(health.is_ejected("t0", start));
    for (int repeat = 0; repeat < 20; ++repeat)
        CHECK(health.choose(pointers(all), {}, "a", start)->incarnation.id ==
              "t1");
    CHECK_FALSE(health.is_ejected("t0", start + 250ms));
}

TEST_CASE("a target that became slow gets less work")
{
    target_health health(1);
    const auto all = targets(2);
    for (int repeat = 0; repeat < 20; ++repeat)
    {
        health.note_sent("t0");
        health.note_answered("t0", 200ms, false);
        health.note_sent("t1");
        health.note_answered("t1", 20ms, false);
    }
    for (int repeat = 0; repeat < 20; ++repeat)
        CHECK(health.choose(pointers(all), {}, "a", start)->incarnation.id ==
              "t1");
}

// Guards against a target that gets almost no work for the rest of the day
// after a few slow seconds, while the others carry its load: it is five times
// slower for a while, the others are chosen, and without requests nothing shows
// that it has recovered.
TEST_CASE("a target that was slow is found to have recovered")
{
    target_health health(1);
    auto all = targets(4);
    for (auto& target : all)
        target.zone = "a";
    const auto share_of_first = [&](int requests, duration first_latency)
    {
        int sent = 0;
        for (int request = 0; request < requests; ++request)
        {
            const auto id =
                health.choose(pointers(all), {}, "a", start)->incarnation;
            const bool is_first = id.id == "t0";
            sent += is_first ? 1 : 0;
            health.note_sent(id);
            health.note_answered(id, is_first ? first_latency : 20ms, false);
        }
        return static_cast<double>(sent) / requests;
    };
    share_of_first(100, 20ms);
    share_of_first(20, 100ms);
    CHECK(share_of_first(500, 100ms) < 0.03); // Probes are rare.
    share_of_first(200, 20ms);
    CHECK(share_of_first(100, 20ms) > 0.1);
}

// A request that may not be repeated is lost if the target still fails.
TEST_CASE("requests that may not be repeated probe no failing target")
{
    target_health health(1);
    const auto all = targets(2);
    for (int repeat = 0; repeat < 20; ++repeat)
    {
        health.note_sent("t0");
        health.note_answered("t0", 20ms, true);
    }
    for (int repeat = 0; repeat < 200; ++repeat)
    {
        health.note_sent("t1");
        health.note_answered("t1", 20ms, false);
        CHECK(health.choose(pointers(all), {}, "a", start, false)
                  ->incarnation.id == "t1");
    }
}

TEST_CASE("requests in flight count against a target")
{
    target_health health(1);
    auto all = targets(3);
    for (auto& target : all)
        target.zone = "a";
    for (int repeat = 0; repeat < 30; ++repeat)
        health.note_sent(
            health.choose(pointers(all), {}, "a", start)->incarnation.id);
    for (const auto& target : all)
        CHECK(health.in_flight(target.incarnation.id) >= 8);
}

TEST_CASE("a target that was tried is not chosen again")
{
    target_health health(1);
    const auto all = targets(2);
    CHECK(health.choose(pointers(all), {"t0"}, "a", start)->incarnation.id ==
          "t1");
    CHECK(health.choose(pointers(all), {"t0", "t1"}, "a", start) == nullptr);
}

TEST_CASE("generations that share a prompt segment go to one engine")
{
    engine_selector first_entry;
    engine_selector second_entry;
    const auto all = targets(8);
    const generation_request work{
        {{"common", 2000}, {"topic", 3000}, {"own", 500}}, {}};
    const auto* first = first_entry.choose(pointers(all), {}, work, "a", start);
    const auto* second =
        second_entry.choose(pointers(all), {}, work, "b", start);
    CHECK(first->incarnation.id == second->incarnation.id);
    first_entry.note_sent(first->incarnation.id, work, start);
    CHECK(first_entry.uncached_tokens(first->incarnation.id, work,
                                      start + 1s) == 0);
    CHECK(first_entry.uncached_tokens(first->incarnation.id, work,
                                      start + 60s) == 5500);
}

// Guards against sending all requests about a popular topic to one engine,
// where they queue up.
TEST_CASE("a popular segment is spread over several engines")
{
    engine_selector selector;
    const auto all = targets(8);
    std::set<std::string> used;
    for (int number = 0; number < 40; ++number)
    {
        const generation_request work{{{"common", 2000},
                                       {"topic", 3000},
                                       {"own" + std::to_string(number), 2000}},
                                      {}};
        const auto* chosen =
            selector.choose(pointers(all), {}, work, "a", start);
        selector.note_sent(chosen->incarnation.id, work, start);
        used.insert(chosen->incarnation.id);
    }
    CHECK(used.size() >= 4);
}

TEST_CASE("a generation with large inputs is placed in their zone")
{
    engine_selector selector;
    const auto all = targets(8);
    const generation_request work{{{"own", 500}}, {{"b", 8U << 20U}}};
    CHECK(selector.choose(pointers(all), {}, work, "a", start)->zone == "b");
}

// Guards against a restarted target that gets no work for a long time, or whose
// prompt cache is assumed to be warm: a target crashes while its backoff and
// its cached segments are recorded by id, and restarts under the same id.
TEST_CASE("a target that restarted under its id has no recorded state")
{
    target_health health(1);
    const target_incarnation before("t0", 100);
    const target_incarnation after("t0", 200);
    for (int repeat = 0; repeat < 2; ++repeat)
    {
        health.note_sent(before);
        health.note_no_answer(before, start);
    }
    CHECK(health.is_ejected(before, start));
    CHECK_FALSE(health.is_ejected(after, start));
    CHECK(health.in_flight(after) == 0);

    engine_selector selector;
    generation_request work;
    work.prompt = {{"shared", 1000}, {"own", 10}};
    selector.note_sent(before, work, start);
    CHECK(selector.uncached_tokens(before, work, start) <
          selector.uncached_tokens(after, work, start));
}
