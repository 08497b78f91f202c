#include "decision/quarantine.hpp"
#include "decision/request_content.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

using admission = quarantine::admission;

const instant start = instant() + 2h;
const digest poison{1, 1};
const digest harmless{2, 2};

ordinal only_entry()
{
    return {};
}

/// Returns a crash of \a target at \a after, when it had run \a content for
/// \a took.
target_crash crash_after(duration after, const digest& content,
                         const std::string& target, duration took = 100ms)
{
    return {content, {target, 1}, start + after - took, start + after, false};
}

/// Returns a quarantine with three incidents of the poison, at 1, 2 and 3 s.
quarantine quarantine_with_three_incidents()
{
    quarantine result;
    for (int number = 1; number <= 3; ++number)
        result.note_crash(
            crash_after(number * 1s, poison, "t" + std::to_string(number)),
            start + number * 1s);
    return result;
}

} // namespace

TEST_CASE("a request is identified by account and content, not by its id")
{
    const request_content content{"club", "POST", "h", "/a/b?c", "body"};
    CHECK(digest_of(content) == digest_of(content));
    for (const request_content& other :
         {request_content{"cafe", "POST", "h", "/a/b?c", "body"},
          request_content{"club", "GET", "h", "/a/b?c", "body"},
          request_content{"club", "POST", "i", "/a/b?c", "body"},
          request_content{"club", "POST", "h", "/a/b?d", "body"},
          request_content{"club", "POST", "h", "/a/b?c", "other"},
          request_content{"clubP", "OST", "h", "/a/b?c", "body"}})
        CHECK(digest_of(content) != digest_of(other));
}

// Guards against a client account that gets another account's requests refused.
TEST_CASE("crashes of one account's request do not count against another's")
{
    quarantine guard;
    const digest own =
        digest_of(request_content{"club", "POST", "h", "/a/", "x"});
    const digest others =
        digest_of(request_content{"cafe", "POST", "h", "/a/", "x"});
    for (int number = 1; number <= 5; ++number)
        guard.note_crash(
            crash_after(number * 1s, own, "t" + std::to_string(number)),
            start + number * 1s);
    CHECK(guard.evaluate(own, start + 6s, only_entry).outcome ==
          admission::refused);
    CHECK(guard.evaluate(others, start + 6s, only_entry).outcome ==
          admission::unrestricted);
}

TEST_CASE("the third incident of a request keeps it from all targets")
{
    quarantine guard;
    CHECK(guard.evaluate(poison, start, only_entry).outcome ==
          admission::unrestricted);
    guard.note_crash(crash_after(1s, poison, "t1"), start + 1s);
    CHECK(guard.evaluate(poison, start + 1s, only_entry).outcome ==
          admission::unrestricted);
    guard.note_crash(crash_after(2s, poison, "t2"), start + 2s);
    CHECK(guard.evaluate(poison, start + 2s, only_entry).outcome ==
          admission::isolated);
    guard.note_crash(crash_after(3s, poison, "t3"), start + 3s);
    const auto last = guard.evaluate(poison, start + 13s, only_entry);
    CHECK(last.outcome == admission::refused);
    CHECK(last.retry_after == 50s);
    CHECK(guard.evaluate(harmless, start + 13s, only_entry).outcome ==
          admission::unrestricted);
}

// Guards against refusing a popular request after all targets of a service
// crash at the same time for another reason, while copies of the request are in
// progress on each of them: the crashes must not count as several incidents.
TEST_CASE("targets that crash together are one incident")
{
    quarantine guard;
    for (int number = 0; number < 18; ++number)
        guard.note_crash(crash_after(1s + number * 20ms, harmless,
                                     "t" + std::to_string(number), 5s),
                         start + 2s);
    CHECK(guard.crashes().evidence_against(harmless).incident_count() == 1);
    CHECK(guard.evaluate(harmless, start + 2s, only_entry).outcome ==
          admission::unrestricted);
}

// Guards against refusing a popular request while another cause crashes targets
// again and again and copies of the request are in progress on each of them.
TEST_CASE("crashes are not held against a recently served request")
{
    quarantine guard;
    for (int number = 0; number < 50; ++number)
    {
        guard.note_served(harmless, start + number * 1s);
        guard.note_crash(crash_after(number * 1s + 900ms, harmless,
                                     "t" + std::to_string(number)),
                         start + number * 1s + 900ms);
    }
    CHECK(guard.evaluate(harmless, start + 51s, only_entry).outcome ==
          admission::unrestricted);
    CHECK(guard.crashes().is_empty());
}

TEST_CASE("a completed run refutes all crashes of its request")
{
    quarantine guard = quarantine_with_three_incidents();
    CHECK(guard.note_served(poison, start + 4s) == 3);
    CHECK(guard.evaluate(poison, start + 20s, only_entry).outcome ==
          admission::unrestricted);
    // The next crash starts a new count.
    guard.note_crash(crash_after(30s, poison, "t9"), start + 30s);
    CHECK(guard.evaluate(poison, start + 30s, only_entry).incidents == 1);
}

// Guards against blaming requests that were sent to a target after its crash.
// The target list holds the target for some more seconds, and a proxy in front
// of it accepts connections and resets them.
TEST_CASE("a request sent after the crash of its target did not cause it")
{
    quarantine guard;
    guard.note_crash(crash_after(1s, poison, "t1"), start + 1s);
    CHECK_FALSE(guard.note_crash(crash_after(2s, harmless, "t1"), start + 2s));
    // After an answer in between, the target is running again.
    guard.crashes().note_alive({"t1", 1}, start + 2500ms, start + 3s);
    CHECK(guard.note_crash(crash_after(4s, harmless, "t1"), start + 4s));
}

// Guards against counting connections of one entry that are reset while their
// targets keep running.
TEST_CASE("an answer refutes a crash only on a connection older than the crash")
{
    crash_log log;
    log.note(crash_after(2s, poison, "t1"), start + 2s);
    const target_incarnation target{"t1", 1};
    CHECK(log.note_alive(target, start + 3s, start + 4s) == 0);
    // Bytes that were sent before the crash may be read shortly after it.
    CHECK(log.note_alive(target, start, start + 2100ms) == 0);
    CHECK(log.note_alive({"t1", 2}, start, start + 4s) == 0);
    CHECK(log.note_alive(target, start, start + 4s) == 1);
    CHECK(log.evidence_against(poison).incident_count() == 0);
}

TEST_CASE("after the refusal time, entries take turns to run a trial")
{
    quarantine guard = quarantine_with_three_incidents();
    const instant refused_until = start + 63s;
    const auto ordinal_at = [](std::size_t index) {
        return [index] { return ordinal{index, 3}; };
    };
    CHECK(guard.evaluate(poison, refused_until - 1ms, ordinal_at(0)).outcome ==
          admission::refused);
    CHECK(guard.evaluate(poison, refused_until, ordinal_at(0)).outcome ==
          admission::trial);
    CHECK(guard.evaluate(poison, refused_until, ordinal_at(1)).outcome ==
          admission::refused);
    // A trial started late in a turn could crash its target in the next turn.
    CHECK(guard.evaluate(poison, refused_until + 6s, ordinal_at(0)).outcome ==
          admission::refused);
    CHECK(guard.evaluate(poison, refused_until + 11s, ordinal_at(1)).outcome ==
          admission::trial);
    CHECK(guard.evaluate(poison, refused_until + 31s, ordinal_at(0)).outcome ==
          admission::trial);

    guard.note_sent(poison, {"t7", 1});
    CHECK(guard.evaluate(poison, refused_until, ordinal_at(0)).outcome ==
          admission::refused);
    guard.note_finished(poison, {"t7", 1});

    guard.note_crash(crash_after(63s, poison, "t7"), refused_until);
    const auto again = guard.evaluate(poison, refused_until, ordinal_at(0));
    CHECK(again.outcome == admission::refused);
    CHECK(again.retry_after == 120s);
}

// If two suspected requests share a target and it crashes, nothing shows which
// of them caused the crash.
TEST_CASE("suspected requests use separate targets")
{
    quarantine guard;
    guard.note_sent(poison, {"t1", 1});
    CHECK(guard.targets_of_others(harmless) ==
          std::set<target_incarnation>{{"t1", 1}});
    CHECK(guard.targets_of_others(poison).empty());
    guard.note_finished(poison, {"t1", 1});
    CHECK(guard.targets_of_others(harmless).empty());
}

TEST_CASE("crash logs converge whatever the order of replication")
{
    std::vector<target_crash> records;
    for (int number = 0; number < 40; ++number)
    {
        records.push_back(crash_after(number * 1s,
                                      number % 3 == 0 ? poison : harmless,
                                      "t" + std::to_string(number % 20)));
        records.push_back(records.back());
        records.back().is_refuted = number % 4 == 0;
        records.back().started_at -= number % 5 * 70ms;
    }
    std::mt19937 random(7);
    std::vector<std::uint64_t> summaries;
    for (int order = 0; order < 20; ++order)
    {
        crash_log log;
        std::shuffle(records.begin(), records.end(), random);
        for (const target_crash& record : records)
            log.note(record, start + 60s);
        summaries.push_back(log.summary());
    }
    CHECK(std::count(summaries.begin(), summaries.end(), summaries[0]) == 20);
}

TEST_CASE("records are replicated once, and not shortly before they expire")
{
    crash_log log;
    for (int number = 0; number < 5; ++number)
        log.note(crash_after(number * 1s, poison, "t" + std::to_string(number)),
                 start + 9s);
    std::uint64_t last_change = 0;
    CHECK(log.changes_after(last_change, 3, start + 9s).size() == 3);
    CHECK(log.changes_after(last_change, 3, start + 9s).size() == 2);
    CHECK(log.changes_after(last_change, 3, start + 9s).empty());
    last_change = 0;
    CHECK(
        log.changes_after(last_change, 9, start + crash_log::lifetime).empty());
    log.expire(start + crash_log::lifetime + 2s);
    CHECK(log.size() == 2);
}

// Guards against a caller that sends many different requests, each of which
// crashes a target.
TEST_CASE("the log is bounded and keeps requests with several crashes")
{
    crash_log log;
    for (int number = 1; number <= 3; ++number)
        log.note(crash_after(number * 1s, poison, "t" + std::to_string(number)),
                 start + 9s);
    const std::size_t many = 3 * crash_log::max_size;
    for (std::size_t number = 0; number < many; ++number)
        log.note(crash_after(5s + number * 1ms, {9, number}, "x"), start + 30s);
    CHECK(log.size() <= crash_log::max_size);
    CHECK(log.evidence_against(poison).incident_count() == 3);
    CHECK(log.evidence_against({9, many - 1}).incident_count() == 1);
    // An entry that still has an evicted record does not bring it back.
    CHECK_FALSE(log.note(crash_after(5s, {9, 0}, "x"), start + 30s));
}
