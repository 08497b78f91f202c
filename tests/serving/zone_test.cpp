#include "serving/peer_messages.hpp"
#include "serving/zone_notices.hpp"
#include "support/good_answers.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;
using namespace mangofold;
using namespace std::chrono_literals;
using end = scripted_target::reaction::end;

namespace
{

scripted_target::reaction hung(const std::string&, std::size_t)
{
    return {{}, end::hang};
}

void evacuate(serving_fixture& entry, std::vector<std::string> zones,
              std::uint64_t revision)
{
    decision::zone_words words;
    words.whole_at = revision;
    for (std::string& one : zones)
        words.words.push_back({std::move(one), revision, true});
    serving::take_zone_words(*entry.context, words, "source");
}

} // namespace

// Guards against requests that reach targets of an evacuated zone, also over
// connections that are open there.
TEST_CASE("requests go to other zones while one is evacuated")
{
    serving_fixture entry;
    auto& own = entry.add_target("plain", good, "a");
    auto& other = entry.add_target("plain", good, "b");
    entry.send_and_receive(request_text("/once/", "r1"), "whole");
    const std::size_t before = own.requests().size();
    evacuate(entry, {"a"}, 5);
    for (const char* id : {"r2", "r3", "r4", "r5"})
        entry.send_and_receive(request_text("/once/", id), "whole");
    CHECK(own.requests().size() == before);
    CHECK(other.requests().size() >= 4);
}

// Guards against callers who wait for targets that may get nothing.
TEST_CASE("a request is refused at once where all its zones are evacuated")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", good, "a");
    evacuate(entry, {"a"}, 5);
    const std::string got = entry.send_and_receive(
        request_text("/once/", "r1", "Budget: 3000\r\n"), "evacuated");
    CHECK(has(got, "503"));
    CHECK(has(got, "Retry-After: 0.9"));
    CHECK(target.requests().empty());
}

// Guards against stages that are asked for although no target may make them.
TEST_CASE("a request is refused at once where a stage is wholly evacuated")
{
    serving_fixture entry;
    entry.add_target("events", good, "b");
    entry.add_target("pieces", good, "a");
    evacuate(entry, {"a"}, 5);
    const std::string got = entry.send_and_receive(
        request_text("/staged/", "r1", "Pieces: 11\r\nBudget: 3000\r\n"),
        "evacuated");
    CHECK(has(got, "503"));
    CHECK(entry.jobs.empty());
}

// Guards against pieces that wait until their time is over for targets that
// may get nothing.
TEST_CASE("what waits for a stage is told at once when it is evacuated")
{
    serving_fixture entry;
    entry.add_target("events", good, "b");
    auto& maker = entry.add_target("pieces", hung, "a");
    const auto first = entry.connect();
    entry.send(*first, request_text("/staged/", "r1",
                                    "Pieces: 81\r\nBudget: 3000\r\n"));
    entry.run_until([&] { return maker.requests().size() == 1; });
    const auto second = entry.connect();
    entry.send(*second, request_text("/staged/", "r2",
                                     "Pieces: 81\r\nBudget: 3000\r\n"));
    entry.run_until([&] { return entry.jobs.size() == 2; });
    evacuate(entry, {"a"}, 5);
    entry.time.advance(30ms);
    entry.run_until([&] { return has(second->received, "evacuated"); });
    CHECK(maker.requests().size() == 1);
}

// Guards against results that are thrown away since nothing more may be made
// where they were made.
TEST_CASE(
    "a request whose stages are made goes on when their zone is evacuated")
{
    serving_fixture entry;
    std::size_t made = 0;
    entry.add_target(
        "pieces",
        [&made](const std::string&, std::size_t)
        {
            return scripted_target::reaction{
                response_text("", "x/" + std::to_string(++made) + "\n"),
                end::keep};
        });
    const auto full = [&entry](const std::string&, std::size_t number)
    {
        evacuate(entry, {"a"}, 5);
        return number == 0
                   ? scripted_target::reaction{response_text("r1", "",
                                                             "503 Full",
                                                             "Not-Run: 1\r\n"),
                                               end::keep}
                   : scripted_target::reaction{};
    };
    auto& first = entry.add_target("events", full, "b");
    auto& second = entry.add_target("events", full, "b");
    entry.send_and_receive(
        request_text("/staged/", "r1", "Pieces: 11\r\nBudget: 3000\r\n"),
        "targets_full");
    CHECK(made == 2);
    CHECK(first.requests().size() + second.requests().size() >= 1);
}

// Guards against a request that is sent before anybody knows whether its
// target's zone is evacuated.
TEST_CASE("no request is sent before the evacuated zones are known")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", good);
    entry.context->evacuations = {};
    CHECK(has(entry.send_and_receive(request_text("/once/", "r1")), "503"));
    CHECK(target.requests().empty());
}

// Guards against an entry that is cut off from the source and sends on into a
// zone that all others have left.
TEST_CASE("an entry hears of evacuated zones from another one")
{
    serving_fixture entry;
    serving_fixture other;
    evacuate(other, {"a"}, 5);
    peer::Holding message;
    serving::write_zones(other.context->evacuations.known(), message);
    serving::take_zone_words(*entry.context, serving::zones_of(message), "e");
    CHECK(entry.context->evacuations == other.context->evacuations);
    auto& target = entry.add_target("plain", good, "a");
    entry.send_and_receive(request_text("/once/", "r1"), "evacuated");
    CHECK(target.requests().empty());
}

// Guards against targets that end under their full load as their zone comes
// back.
TEST_CASE("targets of a zone that was taken back are cold")
{
    serving_fixture entry;
    entry.add_target("events", good, "a");
    entry.add_target("plain", good, "a");
    evacuate(entry, {"a"}, 5);
    serving::take_zone_words(*entry.context, {{}, 9}, "source");
    const decision::cold_targets& cold = entry.context->cold;
    CHECK(cold.is_cold("t1", entry.time.now() + 2s));
    CHECK_FALSE(cold.is_cold("t1", entry.time.now() + 3s));
    CHECK_FALSE(cold.is_cold("t2", entry.time.now()));
}

// Guards against requests that are refused although a cold target takes one
// soon, or that wait where none does.
TEST_CASE("a request waits for a cold target only while that helps")
{
    serving_fixture entry;
    auto& target = entry.add_target("events", hung, "a");
    entry.context->entries_known = 12; // One request a second from each.
    entry.context->cold.note_cold("t1", 10s, entry.time.now());
    entry.context->cold.note_sent("t1", {3s, 16}, 12, entry.time.now());
    const auto patient = entry.connect();
    entry.send(*patient, request_text("/events/", "r1", "Budget: 3000\r\n"));
    entry.settle();
    CHECK(target.requests().empty());
    for (int step = 0; step < 110; ++step)
    {
        entry.time.advance(10ms);
        entry.loop.run_for(1ms);
    }
    CHECK(target.requests().size() == 1);
    const std::string got = entry.send_and_receive(
        request_text("/events/", "r2", "Budget: 1000\r\n"), "targets_cold");
    CHECK(has(got, "503"));
    CHECK(target.requests().size() == 1);
}
