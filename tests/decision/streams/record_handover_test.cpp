#include "decision/streams/record_adoption.hpp"
#include "decision/streams/record_handover.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr instant start{1h};

} // namespace

// Guards against records that are handed to keepers which stop next.
TEST_CASE("records are handed on to keepers whose targets started last")
{
    std::vector<successor_candidate> candidates;
    for (std::uint64_t number = 0; number < 40; ++number)
        candidates.push_back({"k" + std::to_string(number), number, 0});
    const auto successors = successors_of("k39", candidates);
    CHECK(successors.size() == record_handover::max_successors);
    for (const std::string& address : successors)
    {
        CHECK(address >= "k31");
        CHECK(address != "k39");
    }
    for (successor_candidate& candidate : candidates)
        std::swap(candidate.started_ms, candidate.revision);
    CHECK(successors_of("k39", candidates) == successors);
    CHECK(successors_of("k1", {{"k1", 1, 0}}).empty());
}

// Guards against a keeper that stops before its records have arrived, or that
// waits for others that stop, too.
TEST_CASE("a handover resends what is lost and passes over silent successors")
{
    record_handover handover({"a", "b", "c"}, 2, start);
    const auto first = handover.take_due(start);
    REQUIRE(first.size() == 4);
    for (const auto& sent : first)
        if (sent.to == "a")
            handover.note_reply("a", sent.number);
    handover.note_reply("c", first.back().number); // It was sent to b.
    CHECK(handover.confirmed() == std::vector<std::string>{"a"});
    CHECK(handover.take_due(start + 59ms).empty());
    const auto again = handover.take_due(start + 60ms);
    REQUIRE(again.size() == 2);
    CHECK(again.front().to == "b");
    const auto others = handover.take_due(start + 120ms);
    REQUIRE(others.size() == 2);
    CHECK(handover.silent() == std::vector<std::string>{"b"});
    CHECK(others.front().to == "c");
    CHECK_FALSE(handover.is_done(start + 120ms));
    for (const auto& sent : others)
        handover.note_reply("c", sent.number);
    CHECK(handover.is_done(start + 120ms));
}

// Guards against keepers that never stop.
TEST_CASE("a handover ends without records, successors or replies")
{
    CHECK(record_handover({"a"}, 0, start).is_done(start));
    CHECK(record_handover({}, 3, start).is_done(start));
    record_handover handover({"a"}, 1, start);
    handover.take_due(start);
    handover.note_reply("a", 7);
    CHECK_FALSE(handover.is_done(start + 499ms));
    CHECK(handover.is_done(start + 500ms));
}

// Guards against records that are missed since a keeper counts its changes anew
// after a restart.
TEST_CASE("a keeper that started again is read from the start")
{
    record_adoption adoption;
    adoption.set_processes("e", {}, {"k"});
    using questions = std::vector<record_adoption::question>;
    CHECK(adoption.take_due(start) == questions{{"k", 0}});
    CHECK(adoption.take_due(start + 99ms).empty());
    adoption.note_reply("k", 1, 12, 12, start + 99ms);
    CHECK(adoption.take_due(start + 99ms) == questions{{"k", 12}});
    adoption.note_reply("k", 1, 12, 0, start + 99ms);
    CHECK(adoption.take_due(start + 1s).empty());
    CHECK(adoption.take_due(start + 1099ms) == questions{{"k", 12}});
    adoption.note_reply("k", 2, 12, 0, start + 1099ms);
    CHECK(adoption.take_due(start + 1099ms) == questions{{"k", 0}});
}

// Guards against keepers that no entry reads, and against a flood of questions.
TEST_CASE("each keeper is read by one entry, within a budget")
{
    const std::vector<std::string> entries{"e0", "e1", "e2", "e3"};
    std::vector<std::string> keepers;
    for (int number = 0; number < 400; ++number)
        keepers.push_back("k" + std::to_string(number));
    std::size_t read = 0;
    for (const std::string& own : entries)
    {
        auto others = entries;
        std::erase(others, own);
        record_adoption adoption;
        adoption.set_processes(own, others, keepers);
        read += adoption.keepers().size();
        CHECK(adoption.take_due(start).size() ==
              record_adoption::reading_bytes_per_second /
                  record_adoption::question_bytes);
        CHECK(adoption.take_due(start).empty());
    }
    CHECK(read == keepers.size());
}

// Guards against adopted records that are never placed: questions to many
// keepers take all that may be sent.
TEST_CASE("adopted records are placed while many keepers are read")
{
    record_adoption adoption;
    std::vector<std::string> keepers;
    for (int number = 0; number < 300; ++number)
        keepers.push_back("k" + std::to_string(number));
    adoption.set_processes("e1", {}, keepers);
    for (int number = 0; number < 100; ++number)
        adoption.note_unplaced(
            make_stream_key("club", "h", "/", std::to_string(number)));
    std::size_t placed = 0;
    for (instant now = start; now < start + 10s; now += 100ms)
    {
        adoption.take_due(now);
        placed += adoption.take_unplaced(now).size();
    }
    CHECK(placed == 100);
}

// Guards against memory that grows with streams that have ended.
TEST_CASE("records that have expired are not placed any more")
{
    record_adoption adoption;
    adoption.note_unplaced(make_stream_key("club", "h", "/", "1"));
    adoption.retain_unplaced([](const stream_key&) { return false; });
    CHECK(adoption.unplaced() == 0);
}
