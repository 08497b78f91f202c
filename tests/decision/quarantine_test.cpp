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

seat alone()
{
    return {};
}

/// Returns the end of a target that ran \a content for \a took until \a after.
target_end end_after(duration after, const digest& content,
                     const std::string& target, duration took = 100ms)
{
    return {content, {target, 1}, start + after - took, start + after, false};
}

/// A quarantine that knows three ends under the poison, at 1, 2 and 3 s.
quarantine after_three_ends()
{
    quarantine made;
    for (int one = 1; one <= 3; ++one)
        made.note_end(end_after(one * 1s, poison, "t" + std::to_string(one)),
                      start + one * 1s);
    return made;
}

} // namespace

TEST_CASE("a request is known by who asks for what, not by its id")
{
    const request_content one{"club", "POST", "h", "/a/b?c", "body"};
    CHECK(digest_of(one) == digest_of(one));
    for (const request_content& other :
         {request_content{"cafe", "POST", "h", "/a/b?c", "body"},
          request_content{"club", "GET", "h", "/a/b?c", "body"},
          request_content{"club", "POST", "i", "/a/b?c", "body"},
          request_content{"club", "POST", "h", "/a/b?d", "body"},
          request_content{"club", "POST", "h", "/a/b?c", "other"},
          request_content{"clubP", "OST", "h", "/a/b?c", "body"}})
        CHECK(digest_of(one) != digest_of(other));
}

// One client account must not have another's requests refused.
TEST_CASE("what one account asks for says nothing of the same from another")
{
    quarantine known;
    const digest own =
        digest_of(request_content{"club", "POST", "h", "/a/", "x"});
    const digest others =
        digest_of(request_content{"cafe", "POST", "h", "/a/", "x"});
    for (int one = 1; one <= 5; ++one)
        known.note_end(end_after(one * 1s, own, "t" + std::to_string(one)),
                       start + one * 1s);
    CHECK(known.judge(own, start + 6s, alone).how == admission::refused);
    CHECK(known.judge(others, start + 6s, alone).how == admission::open);
}

TEST_CASE("the third end under a request keeps it from targets")
{
    quarantine known;
    CHECK(known.judge(poison, start, alone).how == admission::open);
    known.note_end(end_after(1s, poison, "t1"), start + 1s);
    CHECK(known.judge(poison, start + 1s, alone).how == admission::open);
    known.note_end(end_after(2s, poison, "t2"), start + 2s);
    CHECK(known.judge(poison, start + 2s, alone).how == admission::apart);
    known.note_end(end_after(3s, poison, "t3"), start + 3s);
    const auto last = known.judge(poison, start + 13s, alone);
    CHECK(last.how == admission::refused);
    CHECK(last.back_after == 50s);
    CHECK(known.judge(harmless, start + 13s, alone).how == admission::open);
}

// All targets of a service end at one moment, for a reason of their own.
// 1. Copies of one request are in progress at each of them. 2. All are lost
// together. Counted one by one, what many callers ask for would be refused.
TEST_CASE("targets that end together are one occasion")
{
    quarantine known;
    for (int one = 0; one < 18; ++one)
        known.note_end(
            end_after(1s + one * 20ms, harmless, "t" + std::to_string(one), 5s),
            start + 2s);
    CHECK(known.ends().against(harmless).ends() == 1);
    CHECK(known.judge(harmless, start + 2s, alone).how == admission::open);
}

// Something else ends targets again and again, and copies of what many callers
// ask for are in progress at each of them.
TEST_CASE("a request that was served lately is not blamed for ends")
{
    quarantine known;
    for (int one = 0; one < 50; ++one)
    {
        known.note_served(harmless, start + one * 1s);
        known.note_end(
            end_after(one * 1s + 900ms, harmless, "t" + std::to_string(one)),
            start + one * 1s + 900ms);
    }
    CHECK(known.judge(harmless, start + 51s, alone).how == admission::open);
    CHECK(known.ends().is_empty());
}

TEST_CASE("a run that goes well refutes all ends of its request")
{
    quarantine known = after_three_ends();
    CHECK(known.note_served(poison, start + 4s) == 3);
    CHECK(known.judge(poison, start + 20s, alone).how == admission::open);
    // The next end begins a new count.
    known.note_end(end_after(30s, poison, "t9"), start + 30s);
    CHECK(known.judge(poison, start + 30s, alone).ends == 1);
}

// The list names a target for seconds after it has ended, and something before
// it takes connections and resets them.
TEST_CASE("what is sent to a target that has ended did not end it")
{
    quarantine known;
    known.note_end(end_after(1s, poison, "t1"), start + 1s);
    CHECK_FALSE(known.note_end(end_after(2s, harmless, "t1"), start + 2s));
    // Where it answered in between, it has not ended for good.
    known.ends().note_alive({"t1", 1}, start + 2500ms, start + 3s);
    CHECK(known.note_end(end_after(4s, harmless, "t1"), start + 4s));
}

// Connections of one entry are reset while their targets live on.
TEST_CASE("an answer on an older connection refutes an end, a new one does not")
{
    target_ends known;
    known.note(end_after(2s, poison, "t1"), start + 2s);
    const target_incarnation target{"t1", 1};
    CHECK(known.note_alive(target, start + 3s, start + 4s) == 0);
    // Bytes that were sent before the end may be read a moment after it.
    CHECK(known.note_alive(target, start, start + 2100ms) == 0);
    CHECK(known.note_alive({"t1", 2}, start, start + 4s) == 0);
    CHECK(known.note_alive(target, start, start + 4s) == 1);
    CHECK(known.against(poison).ends() == 0);
}

TEST_CASE("after its time a request is tried at one target, in turn")
{
    quarantine known = after_three_ends();
    const instant over = start + 63s;
    const auto at = [](std::size_t place) {
        return [place] { return seat{place, 3}; };
    };
    CHECK(known.judge(poison, over - 1ms, at(0)).how == admission::refused);
    CHECK(known.judge(poison, over, at(0)).how == admission::trial);
    CHECK(known.judge(poison, over, at(1)).how == admission::refused);
    // What is begun late in a turn could end its target in the next one.
    CHECK(known.judge(poison, over + 6s, at(0)).how == admission::refused);
    CHECK(known.judge(poison, over + 11s, at(1)).how == admission::trial);
    CHECK(known.judge(poison, over + 31s, at(0)).how == admission::trial);

    known.note_begun(poison, {"t7", 1});
    CHECK(known.judge(poison, over, at(0)).how == admission::refused);
    known.note_over(poison, {"t7", 1});

    known.note_end(end_after(63s, poison, "t7"), over);
    const auto again = known.judge(poison, over, at(0));
    CHECK(again.how == admission::refused);
    CHECK(again.back_after == 120s);
}

// Two requests in doubt at one target could not be told apart once it ends.
TEST_CASE("requests in doubt go to targets of their own")
{
    quarantine known;
    known.note_begun(poison, {"t1", 1});
    CHECK(known.occupied(harmless) == std::set<target_incarnation>{{"t1", 1}});
    CHECK(known.occupied(poison).empty());
    known.note_over(poison, {"t1", 1});
    CHECK(known.occupied(harmless).empty());
}

TEST_CASE("entries that tell each other in any order know the same")
{
    std::vector<target_end> told;
    for (int one = 0; one < 40; ++one)
    {
        told.push_back(end_after(one * 1s, one % 3 == 0 ? poison : harmless,
                                 "t" + std::to_string(one % 20)));
        told.push_back(told.back());
        told.back().is_refuted = one % 4 == 0;
        told.back().began -= one % 5 * 70ms;
    }
    std::mt19937 random(7);
    std::vector<std::uint64_t> summaries;
    for (int order = 0; order < 20; ++order)
    {
        target_ends known;
        std::shuffle(told.begin(), told.end(), random);
        for (const target_end& one : told)
            known.note(one, start + 60s);
        summaries.push_back(known.summary());
    }
    CHECK(std::count(summaries.begin(), summaries.end(), summaries[0]) == 20);
}

TEST_CASE("news is told once, and what is nearly forgotten not at all")
{
    target_ends known;
    for (int one = 0; one < 5; ++one)
        known.note(end_after(one * 1s, poison, "t" + std::to_string(one)),
                   start + 9s);
    std::uint64_t told = 0;
    CHECK(known.since(told, 3, start + 9s).size() == 3);
    CHECK(known.since(told, 3, start + 9s).size() == 2);
    CHECK(known.since(told, 3, start + 9s).empty());
    told = 0;
    CHECK(known.since(told, 9, start + target_ends::lifetime).empty());
    known.expire(start + target_ends::lifetime + 2s);
    CHECK(known.size() == 2);
}

// A caller sends many different requests that each end a target.
TEST_CASE("what is remembered is bounded, and the worst is kept")
{
    target_ends known;
    for (int one = 1; one <= 3; ++one)
        known.note(end_after(one * 1s, poison, "t" + std::to_string(one)),
                   start + 9s);
    const std::size_t many = 3 * target_ends::most;
    for (std::size_t one = 0; one < many; ++one)
        known.note(end_after(5s + one * 1ms, {9, one}, "x"), start + 30s);
    CHECK(known.size() <= target_ends::most);
    CHECK(known.against(poison).ends() == 3);
    CHECK(known.against({9, many - 1}).ends() == 1);
    // Another entry that still knows it does not bring it back.
    CHECK_FALSE(known.note(end_after(5s, {9, 0}, "x"), start + 30s));
}
