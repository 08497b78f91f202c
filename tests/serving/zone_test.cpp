#include "serving/peer_messages.hpp"
#include "serving/zone_notices.hpp"
#include "support/complete_responses.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;
using namespace mangofold;
using namespace std::chrono_literals;
using end = scripted_target::response::connection_action;

namespace
{

scripted_target::response no_answer(const std::string&, std::size_t)
{
    return {{}, end::hang};
}

void evacuate(serving_fixture& entry, std::vector<std::string> zones,
              std::uint64_t revision)
{
    decision::zone_snapshot snapshot;
    snapshot.complete_as_of = revision;
    for (std::string& zone : zones)
        snapshot.states.push_back({std::move(zone), revision, true});
    serving::apply_zone_evacuations(*entry.context, snapshot, "source");
}

} // namespace

// Guards against requests that reach targets of an evacuated zone, including
// over connections that are already open.
TEST_CASE("requests go to other zones while one is evacuated")
{
    serving_fixture entry;
    auto& own = entry.add_target("plain", complete_response, "a");
    auto& other = entry.add_target("plain", complete_response, "b");
    entry.send_and_receive(request_text("/once/", "r1"), "whole");
    const std::size_t before = own.requests().size();
    evacuate(entry, {"a"}, 5);
    for (const char* id : {"r2", "r3", "r4", "r5"})
        entry.send_and_receive(request_text("/once/", id), "whole");
    CHECK(own.requests().size() == before);
    CHECK(other.requests().size() >= 4);
}

// Guards against callers that wait for targets that may get no requests.
TEST_CASE(
    "a request is refused at once if all zones with its targets are evacuated")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", complete_response, "a");
    evacuate(entry, {"a"}, 5);
    const std::string got = entry.send_and_receive(
        request_text("/once/", "r1", "Budget: 3000\r\n"), "evacuated");
    CHECK(contains(got, "503"));
    CHECK(contains(got, "Retry-After: 0.9"));
    CHECK(target.requests().empty());
}

// Guards against stages that are started although no target may execute them.
TEST_CASE(
    "a request is refused at once if all targets of a stage are evacuated")
{
    serving_fixture entry;
    entry.add_target("events", complete_response, "b");
    entry.add_target("pieces", complete_response, "a");
    evacuate(entry, {"a"}, 5);
    const std::string got = entry.send_and_receive(
        request_text("/staged/", "r1", "Pieces: 11\r\nBudget: 3000\r\n"),
        "evacuated");
    CHECK(contains(got, "503"));
    CHECK(entry.jobs.empty());
}

// Guards against pieces that wait until their deadline for targets that may
// get no requests.
TEST_CASE(
    "requests that wait for a stage are refused at once when it is evacuated")
{
    serving_fixture entry;
    entry.add_target("events", complete_response, "b");
    auto& producer = entry.add_target("pieces", no_answer, "a");
    const auto first = entry.connect();
    entry.send(*first, request_text("/staged/", "r1",
                                    "Pieces: 81\r\nBudget: 3000\r\n"));
    entry.run_until([&] { return producer.requests().size() == 1; });
    const auto second = entry.connect();
    entry.send(*second, request_text("/staged/", "r2",
                                     "Pieces: 81\r\nBudget: 3000\r\n"));
    entry.run_until([&] { return entry.jobs.size() == 2; });
    evacuate(entry, {"a"}, 5);
    entry.time.advance(30ms);
    entry.run_until([&] { return contains(second->received, "evacuated"); });
    CHECK(producer.requests().size() == 1);
}

// Guards against results that are discarded because their zone may execute no
// more stages.
TEST_CASE("a request continues if its stages were done before the evacuation")
{
    serving_fixture entry;
    std::size_t call_count = 0;
    entry.add_target(
        "pieces",
        [&call_count](const std::string&, std::size_t)
        {
            return scripted_target::response{
                response_text("", "x/" + std::to_string(++call_count) + "\n"),
                end::keep};
        });
    const auto full = [&entry](const std::string&, std::size_t number)
    {
        evacuate(entry, {"a"}, 5);
        return number == 0
                   ? scripted_target::response{response_text("r1", "",
                                                             "503 Full",
                                                             "Not-Run: 1\r\n"),
                                               end::keep}
                   : scripted_target::response{};
    };
    auto& first = entry.add_target("events", full, "b");
    auto& second = entry.add_target("events", full, "b");
    entry.send_and_receive(
        request_text("/staged/", "r1", "Pieces: 11\r\nBudget: 3000\r\n"),
        "targets_full");
    CHECK(call_count == 2);
    CHECK(first.requests().size() + second.requests().size() >= 1);
}

// Guards against a request that is sent before the entry knows whether the
// target's zone is evacuated.
TEST_CASE("no request is sent before the evacuated zones are known")
{
    serving_fixture entry;
    auto& target = entry.add_target("plain", complete_response);
    entry.context->evacuations = {};
    CHECK(
        contains(entry.send_and_receive(request_text("/once/", "r1")), "503"));
    CHECK(target.requests().empty());
}

// Guards against an entry without a connection to the source that keeps
// sending to a zone that all other entries have evacuated.
TEST_CASE("an entry learns of evacuated zones from another entry")
{
    serving_fixture entry;
    serving_fixture other;
    evacuate(other, {"a"}, 5);
    peer::Holding message;
    serving::write_zones(other.context->evacuations.snapshot(), message);
    serving::apply_zone_evacuations(*entry.context,
                                    serving::read_zones(message), "e");
    CHECK(entry.context->evacuations == other.context->evacuations);
    auto& target = entry.add_target("plain", complete_response, "a");
    entry.send_and_receive(request_text("/once/", "r1"), "evacuated");
    CHECK(target.requests().empty());
}

// Guards against targets that crash under full load right after their zone
// returns to service.
TEST_CASE("targets of a zone that returns to service are cold")
{
    serving_fixture entry;
    entry.add_target("events", complete_response, "a");
    entry.add_target("plain", complete_response, "a");
    evacuate(entry, {"a"}, 5);
    serving::apply_zone_evacuations(*entry.context, {{}, 9}, "source");
    const decision::cold_targets& cold = entry.context->cold_targets;
    CHECK(cold.is_cold("t1", entry.time.now() + 2s));
    CHECK_FALSE(cold.is_cold("t1", entry.time.now() + 3s));
    CHECK_FALSE(cold.is_cold("t2", entry.time.now()));
}

// Guards against requests that are refused although a cold target accepts one
// soon, or that wait although no target does.
TEST_CASE("a request waits for a cold target only if it can be sent in time")
{
    serving_fixture entry;
    auto& target = entry.add_target("events", no_answer, "a");
    entry.context->peak_entries = 12; // One request a second from each.
    entry.context->cold_targets.note_cold("t1", 10s, entry.time.now());
    entry.context->cold_targets.note_sent("t1", {3s, 16}, 12, entry.time.now());
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
    CHECK(contains(got, "503"));
    CHECK(target.requests().size() == 1);
}
