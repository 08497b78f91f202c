#include "decision/admission/urgency.hpp"
#include "decision/engines/generation_record.hpp"
#include "decision/engines/scheduler_contact.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr instant start{1h};

/// Two engines and the record of the generations there.
struct recorded_engines
{
    const listed_target* choose(instant now)
    {
        return engines.choose({&first, &second}, {}, work, "a", now);
    }

    listed_target first{{"e1", 5}, "s", "", "a"};
    listed_target second{{"e2", 5}, "s", "", "a"};
    generation_request work{{{"own", 2000}}, {}};
    engine_selector engines;
    generation_record record{engines};
};

} // namespace

// Guards against an engine that counts as loaded for ever, or as free although
// it is loaded, since an event was reported twice or in the wrong order.
TEST_CASE("repeated and late events of a generation have no effect")
{
    recorded_engines world;
    world.record.add({"x", 1}, {"e1", 5}, world.work, start);
    for (const auto event :
         {generation_event::first_event, generation_event::first_event,
          generation_event::ended, generation_event::ended,
          generation_event::first_event})
        world.record.note_event({"x", 1}, event, 100ms, start);
    CHECK(world.record.size() == 0);
    world.record.add({"x", 2}, {"e2", 5}, world.work, start);
    CHECK(world.choose(start) == &world.first);
}

// Guards against a restarted engine that is avoided for the load of the run
// before.
TEST_CASE("the load of an engine is not that of its next incarnation")
{
    recorded_engines world;
    world.record.add({"x", 1}, {"e1", 5}, world.work, start);
    world.first.incarnation.started_ms = 6;
    CHECK(world.choose(start) == &world.first);
}

// Guards against records that grow with each restart of an engine: a scheduler
// holds hundreds of cached segments by engine.
TEST_CASE("an engine that gets nothing any more is forgotten")
{
    recorded_engines world;
    world.record.add({"", 1}, {"e1", 5}, world.work, start);
    world.record.expire(start + 1min);
    CHECK(world.engines.size() == 1); // It still runs the generation.
    world.record.note_event({"", 1}, generation_event::ended, 1s, start + 1min);
    world.record.expire(start + 1min);
    CHECK(world.engines.size() == 0);
}

// Guards against prompts that are read again after another entry, which may be
// partitioned from an engine, reports that the engine does not answer.
TEST_CASE("a failure reported by another entry leaves the cached segments")
{
    recorded_engines world;
    for (const char* sender : {"", "x"})
    {
        world.record.add({sender, 1}, {"e1", 5}, world.work, start);
        world.record.note_event({sender, 1}, generation_event::failed, 1s,
                                start);
        CHECK(world.engines.is_backed_off({"e1", 5}, start));
        const bool is_own = std::string(sender).empty();
        CHECK(world.engines.uncached_tokens({"e1", 5}, world.work, start) ==
              (is_own ? 2000 : 0));
    }
}

// Load: more generations than slots. Guards against generations that are
// refused by an engine without a free slot, or wait there, while another has
// one.
TEST_CASE("an engine without a free slot or memory costs the wait for it")
{
    for (const engine_limits limits :
         {engine_limits{1, 0}, engine_limits{0, 900}})
    {
        recorded_engines world;
        world.work.prompt = {{"own", 100}};
        world.work.max_output_tokens = 500;
        world.work.limits = limits;
        world.second.zone = std::string("b"); // A little more expensive.
        world.record.add({"x", 1}, {"e1", 5}, world.work, start);
        world.record.note_event({"x", 1}, generation_event::first_event, 60ms,
                                start);
        CHECK(world.choose(start) == &world.second);
        world.work.limits = {2, 2000};
        CHECK(world.choose(start) == &world.first);
        world.work.limits = limits;
        world.record.note_event({"x", 1}, generation_event::ended, 1s, start);
        CHECK(world.choose(start) == &world.first);
    }
}

// Guards against requests that all wait for a scheduler that has died.
TEST_CASE(
    "a scheduler that does not answer three times is asked a second later")
{
    scheduler_contact contact;
    CHECK_FALSE(contact.note_unanswered("a", start));
    contact.note_answered("a");
    CHECK_FALSE(contact.note_unanswered("a", start));
    CHECK_FALSE(contact.note_unanswered("a", start));
    CHECK(contact.should_ask("a", start));
    CHECK(contact.note_unanswered("a", start));
    CHECK_FALSE(contact.should_ask("a", start + 999ms));
    CHECK(contact.should_ask("b", start));
    CHECK(contact.should_ask("a", start + 1s));
    CHECK(contact.note_unanswered("a", start + 1s));
    CHECK_FALSE(contact.should_ask("a", start + 1500ms));
}

TEST_CASE("the account's rank decides the priority before the route's")
{
    CHECK(engine_priority({0, 0}) == 0);
    CHECK(engine_priority({0, 9}) == 2);
    CHECK(engine_priority({1, 0}) == 3);
    CHECK(engine_priority({9, 9}) == 9);
}
