#include "decision/entry_roster.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

std::string address(int number)
{
    return "10.0.0." + std::to_string(number) + ":1";
}

/// Returns the status of a settled entry that knows \a known_entries.
entry_roster::entry_status settled_status(double cores,
                                          bool is_stopping = false,
                                          std::size_t known_entries = 1)
{
    return {cores, is_stopping, true, known_entries};
}

/// Returns the status of an entry that has just started.
entry_roster::entry_status unsettled_status()
{
    return {1, false, false, 1};
}

/// Returns the roster of the entry \a own in a fleet of \a count entries.
entry_roster roster_in_fleet(int own, int count, double cores = 1)
{
    entry_roster roster(address(own), cores);
    for (int other = 0; other < count; ++other)
        if (other != own)
            roster.note_answer(address(other), settled_status(cores), {});
    return roster;
}

} // namespace

TEST_CASE("entries with the same view elect the same batching entry")
{
    std::set<std::string> elected_entries;
    for (int own = 0; own < 6; ++own)
        elected_entries.insert(
            roster_in_fleet(own, 6).batching_entry("rerank"));
    CHECK(elected_entries.size() == 1);
}

TEST_CASE("only the loss of a batching entry moves its service")
{
    entry_roster roster = roster_in_fleet(0, 8);
    const std::string before = roster.batching_entry("rerank");
    for (int other = 1; other < 8; ++other)
        if (address(other) != before)
            roster.note_lost(address(other));
    CHECK(roster.batching_entry("rerank") == before);
    roster.note_lost(before);
    CHECK(roster.batching_entry("rerank") == address(0));
}

// Guards against a small entry that batches for the whole fleet and cannot keep
// up, so that every request that needs its service is late although the large
// entries are idle. The fleet has a few entries with half a core and many with
// a tenth of a core.
TEST_CASE("a small entry batches only if no large entry is left")
{
    entry_roster roster(address(0), 0.09);
    for (int small = 1; small < 15; ++small)
        roster.note_answer(address(small), settled_status(0.09), {});
    roster.note_answer("large", settled_status(0.5), {});
    for (int service = 0; service < 50; ++service)
        CHECK(roster.batching_entry(std::to_string(service)) == "large");
    roster.note_lost("large");
    CHECK(roster.batching_entry("rerank") != "large");
}

TEST_CASE("a stopping entry batches nothing while another entry can")
{
    entry_roster roster = roster_in_fleet(0, 2);
    roster.note_answer(address(1), settled_status(1, true), instant(1h));
    for (int service = 0; service < 20; ++service)
        CHECK(roster.batching_entry(std::to_string(service)) == address(0));
    roster.set_stopping(instant(1h));
    // If both are stopping, they agree on one of them.
    entry_roster other = roster_in_fleet(1, 2);
    other.note_answer(address(0), settled_status(1, true), instant(1h));
    other.set_stopping(instant(1h));
    CHECK(roster.batching_entry("rerank") == other.batching_entry("rerank"));
    roster.note_answer(address(1), settled_status(1), {});
    CHECK(roster.batching_entry("rerank") == address(1));
}

// Guards against an entry that stays for the work of others, refuses its own
// callers meanwhile, and comes back late.
TEST_CASE("of stopping entries, those that were told to stop last batch")
{
    constexpr int count = 6;
    entry_roster roster = roster_in_fleet(0, count);
    roster.set_stopping(instant(1h));
    for (int other = 1; other < count; ++other)
        roster.note_answer(address(other), settled_status(1, true),
                           instant(1h + other * 700ms));
    for (int service = 0; service < 40; ++service)
    {
        const std::string& batching =
            roster.batching_entry(std::to_string(service));
        for (int early = 0; early < count / 2; ++early)
            CHECK(batching != address(early));
    }
    roster.note_answer(address(1), settled_status(1), instant(2h));
    CHECK(roster.batching_entry("rerank") == address(1));
}

// Guards against entries of which all, or none, leave streams to the others
// while all stop.
TEST_CASE("the half that was told to stop first leaves requests to the other")
{
    constexpr int count = 6;
    constexpr instant stop{1h};
    for (const duration gap : {0ms, 100ms, 700ms})
    {
        int leaving = 0;
        for (int own = 0; own < count; ++own)
        {
            entry_roster roster = roster_in_fleet(own, count);
            roster.set_stopping(stop + own * gap);
            constexpr duration report_delay = 30ms;
            for (int other = 0; other < count; ++other)
                if (other != own)
                    roster.note_answer(address(other), settled_status(1, true),
                                       stop + other * gap + report_delay);
            const instant last = stop + (count - 1) * gap;
            const bool leaves =
                roster.others_while_stopping(last) == other_entries::later_half;
            leaving += leaves ? 1 : 0;
            CHECK(roster.others_while_stopping(last + 3s) !=
                  other_entries::later_half);
        }
        CHECK(leaving == count / 2);
    }
}

// Guards against the stop of a few entries that refuse callers at once.
TEST_CASE("entries leave nothing to others at once while most go on")
{
    constexpr instant stop{1h};
    entry_roster roster = roster_in_fleet(0, 6);
    roster.set_stopping(stop);
    for (const int other : {1, 2})
        roster.note_answer(address(other), settled_status(1, true), stop);
    CHECK(roster.others_while_stopping(stop) == other_entries::few);
    roster.note_answer(address(3), settled_status(1, true), stop + 200ms);
    CHECK(roster.others_while_stopping(stop) == other_entries::later_half);
}

// Guards against callers who return before entries are back, are refused again
// and have no try left.
TEST_CASE("refused callers return when half of the entries are back")
{
    constexpr int count = 6;
    constexpr duration stop_time = 8500ms;
    constexpr instant stop{1h};
    entry_roster roster = roster_in_fleet(0, count);
    roster.set_stopping(stop);
    CHECK(roster.half_back_at(stop_time, stop) == stop);
    for (int other = 1; other < count; ++other)
        roster.note_answer(address(other), settled_status(1, true),
                           stop + other * 700ms);
    // The third of them, this one included, is back then.
    const instant third_back = stop + 2 * 700ms + stop_time;
    CHECK(roster.half_back_at(stop_time, stop + 4s) == third_back);
    // Entries that have ended are on their way back.
    roster.note_lost(address(1));
    roster.note_lost(address(2));
    CHECK(roster.half_back_at(stop_time, stop + 8s) == third_back);
    // Those that come back sooner serve.
    for (int other = 1; other < 4; ++other)
        roster.note_answer(address(other), settled_status(1), stop + 8s);
    CHECK(roster.half_back_at(stop_time, stop + 8s) == stop + 8s);
}

// Guards against waiting for entries that do not come back.
TEST_CASE("an entry that was removed is not waited for")
{
    constexpr duration stop_time = 8500ms;
    constexpr instant stop{1h};
    entry_roster roster = roster_in_fleet(0, 3);
    roster.note_answer(address(1), settled_status(1, true), stop);
    roster.note_answer(address(2), settled_status(1, true), stop);
    roster.note_lost(address(1));
    roster.note_lost(address(2));
    roster.set_stopping(stop + 20s);
    CHECK(roster.half_back_at(stop_time, stop + 20s) == stop + 20s + stop_time);
}

// A batching entry that crashes holds pieces of many requests with a latency
// goal of a second or two, so its loss must be detected soon. Probing all
// entries that often took a small entry of a fleet of 23 most of its processor
// time.
TEST_CASE("batching entries are probed often, all others seldom")
{
    entry_roster roster = roster_in_fleet(0, 23);
    roster.set_services({"encode", "rerank"});
    int batching = 0;
    for (int other = 1; other < 23; ++other)
    {
        const auto schedule =
            roster.probe_schedule_for(address(other), false, {});
        const bool is_batching =
            roster.batching_entry("encode") == address(other) ||
            roster.batching_entry("rerank") == address(other);
        CHECK((schedule.interval == 100ms) == is_batching);
        CHECK(schedule.timeout >= schedule.interval * 3);
        batching += is_batching ? 1 : 0;
    }
    CHECK(batching <= 2);
}

TEST_CASE("the rate of probes to an entry does not grow with the fleet")
{
    entry_roster roster = roster_in_fleet(0, 1400);
    roster.set_services({"encode"});
    // 500 probes a second from all entries together.
    CHECK(roster.probe_schedule_for(roster.batching_entry("encode"), false, {})
              .interval >= 1400 * 2ms);
    const std::string not_batching =
        roster.batching_entry("encode") == address(1) ? address(2) : address(1);
    CHECK(roster.probe_schedule_for(not_batching, false, {}).interval >=
          1400 * 20ms);
}

TEST_CASE("repeated samples cover all entries")
{
    const entry_roster roster = roster_in_fleet(0, 40);
    random_source random(3);
    std::set<std::string> listed;
    for (int round = 0; round < 60; ++round)
    {
        const auto sample = roster.sample(40, random);
        CHECK(sample.size() == 9);
        CHECK(sample.front() == address(0));
        listed.insert(sample.begin(), sample.end());
    }
    CHECK(listed.size() == 40);
}

TEST_CASE("the sample for an entry that knows few others is large")
{
    const entry_roster roster = roster_in_fleet(0, 40);
    random_source random(3);
    CHECK(roster.sample(3, random).size() == 40);
}

// Guards against requests that are late or refused for four to six seconds
// after a restart of all entries, although the targets are idle at first. All
// entries start within half a second, and each knows only itself and the few
// seeds that are up. If each batched for itself, the targets would refuse most
// calls as full, the other calls would hold a tenth of the pieces that they
// could, and the backlog would make the requests of the next seconds late too.
TEST_CASE("entries that start together wait until they find no new entry")
{
    const instant start{};
    entry_roster roster(address(0), 1);
    roster.set_started({address(0), address(1), address(2)}, start);
    CHECK_FALSE(roster.is_settled(start));
    CHECK_FALSE(roster.is_settled(start + 550ms));
    roster.note_answer(address(1), unsettled_status(), start + 460ms);
    CHECK_FALSE(roster.is_settled(start + 550ms));
    roster.note_answer(address(2), unsettled_status(), start + 560ms);
    CHECK_FALSE(roster.is_settled(start + 650ms));
    CHECK(roster.is_settled(start + 660ms));
}

// The last of the entries to start must not wait longer than the first.
TEST_CASE("once all seeds have answered, an entry waits only for new entries")
{
    const instant start{};
    entry_roster roster(address(0), 1);
    roster.set_started({address(1), address(2)}, start);
    roster.note_answer(address(1), unsettled_status(), start + 10ms);
    CHECK_FALSE(roster.is_settled(start + 300ms));
    roster.note_answer(address(2), unsettled_status(), start + 20ms);
    CHECK_FALSE(roster.is_settled(start + 110ms));
    CHECK(roster.is_settled(start + 120ms));
}

// Guards against stages that wait forever in a fleet in which new entries keep
// appearing.
TEST_CASE("an entry is settled after a second at most")
{
    const instant start{};
    entry_roster roster(address(0), 1);
    roster.set_started({address(1)}, start);
    for (int other = 1; other < 30; ++other)
        roster.note_answer(address(other), unsettled_status(),
                           start + other * 50ms);
    CHECK_FALSE(roster.is_settled(start + 900ms));
    CHECK(roster.is_settled(start + 1s));
}

// Guards against needless waiting of requests in a rolling restart.
TEST_CASE("an entry that joins a running fleet waits until it knows most of it")
{
    const instant start{};
    entry_roster roster(address(0), 1);
    roster.set_started({address(1)}, start);
    roster.note_answer(address(1), settled_status(1, false, 20), start + 5ms);
    CHECK_FALSE(roster.is_settled(start + 5ms));
    for (int other = 2; other < 15; ++other)
        roster.note_answer(address(other), settled_status(1, false, 20),
                           start + 20ms);
    CHECK(roster.is_settled(start + 20ms));
}

TEST_CASE("an entry without other seeds is settled at once")
{
    entry_roster roster(address(0), 1);
    roster.set_started({address(0)}, {});
    CHECK(roster.is_settled({}));
}

// Guards against entries that learn of each other a second late. All new
// entries contact the seeds; a seed that is probed once a second reports them
// with that delay.
TEST_CASE("a new entry probes the seeds often until it is settled")
{
    const instant start{};
    entry_roster roster(address(0), 1);
    roster.set_started({address(1)}, start);
    roster.note_answer(address(1), unsettled_status(), start);
    roster.note_answer(address(2), unsettled_status(), start);
    CHECK(roster.probe_schedule_for(address(1), false, start).interval ==
          100ms);
    CHECK(roster.probe_schedule_for(address(2), false, start).interval == 1s);
    CHECK(roster.probe_schedule_for(address(1), false, start + 2s).interval ==
          1s);
}
