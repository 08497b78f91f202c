#include "decision/cold_targets.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr warm_up limit{3s, 16};
const instant start = instant{} + 100s;

/// Returns the maximum number of requests that one cold target gets in any
/// second of \a warm_up_period, from entries that send as many as they may.
/// Each of them knows of \a known_entries entries.
std::size_t max_requests_per_second(std::size_t entries,
                                    std::size_t known_entries,
                                    std::uint64_t seed,
                                    duration warm_up_period = 3s)
{
    struct entry
    {
        cold_targets cold;
        random_source random;
    };
    std::vector<entry> all;
    for (std::size_t index = 0; index < entries; ++index)
    {
        all.push_back({{}, random_source(seed * 1000 + index)});
        all.back().cold.note_cold("t", warm_up_period, start);
    }
    std::vector<instant> sent;
    for (instant now = start; now < start + warm_up_period; now += 5ms)
        for (entry& sender : all)
            if (sender.cold.next_send("t", limit, known_entries, now,
                                      sender.random) <= now)
            {
                sender.cold.note_sent("t", limit, known_entries, now);
                sent.push_back(now);
            }
    std::size_t result = 0;
    for (const instant from : sent)
        result = std::max<std::size_t>(
            result, std::count_if(sent.begin(), sent.end(),
                                  [from](instant at)
                                  { return at >= from && at < from + 1s; }));
    return result;
}

} // namespace

// Guards against cold targets that fail under the sum of the requests of many
// entries.
TEST_CASE("all entries together send a cold target what it accepts")
{
    for (const std::size_t entries : {1U, 4U, 23U, 300U})
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            CAPTURE(entries);
            CAPTURE(seed);
            // The accepted rate plus a half, plus five.
            CHECK(max_requests_per_second(entries, entries, seed) <= 29);
        }
}

// Guards against overload by entries that do not know a third of the others
// yet.
TEST_CASE("a cold target is not overloaded by entries that know few others")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        CHECK(max_requests_per_second(23, 15, seed) <= 29);
    }
}

// Guards against a burst of requests after an entry's process was frozen.
TEST_CASE("unused sends to a cold target do not accumulate")
{
    cold_targets cold;
    random_source random(1);
    cold.note_cold("t", 10s, start);
    cold.next_send("t", limit, 4, start, random);
    const instant later = start + 5s;
    CHECK(cold.next_send("t", limit, 4, later, random) == later);
    cold.note_sent("t", limit, 4, later);
    CHECK(cold.next_send("t", limit, 4, later, random) > later + 300ms);
}

// Guards against a target that fails again and again since it gets its full
// load after each restart.
TEST_CASE("a target that was lost is cold from its next response on")
{
    cold_targets cold;
    CHECK_FALSE(cold.has_any());
    cold.note_answered("t", 3s, start);
    CHECK_FALSE(cold.is_cold("t", start));
    cold.note_lost("t", start);
    CHECK(cold.is_cold("t", start + 10s));
    cold.note_answered("t", 3s, start + 10s);
    CHECK(cold.is_cold("t", start + 12s));
    CHECK_FALSE(cold.is_cold("t", start + 13s));
    CHECK_FALSE(cold.is_cold("other", start));
}

TEST_CASE("targets that are warm again are removed")
{
    cold_targets cold;
    cold.note_cold("t", 3s, start);
    cold.note_cold("warm", 0s, start);
    CHECK(cold.size() == 1);
    cold.expire(start + 2s);
    CHECK(cold.size() == 1);
    cold.expire(start + 3s);
    CHECK_FALSE(cold.has_any());
}
