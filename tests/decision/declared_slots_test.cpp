#include "decision/declared_slots.hpp"
#include "decision/target_health.hpp"

#include <doctest/doctest.h>

#include <deque>
#include <limits>
#include <map>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t max_slots = std::numeric_limits<std::uint32_t>::max();

std::vector<listed_target> targets(const std::vector<std::uint32_t>& slots)
{
    std::vector<listed_target> result;
    for (const std::uint32_t declared : slots)
    {
        listed_target target;
        target.incarnation.id = "t" + std::to_string(result.size());
        target.service = "s";
        target.zone = "a";
        target.slots = declared;
        result.push_back(target);
    }
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

/// Returns the share of requests that the last of \a all gets at a load of
/// \a in_flight requests in progress, all of which take equally long.
double share_of_last(const std::vector<listed_target>& all,
                     std::size_t in_flight, std::uint64_t seed)
{
    target_health health(seed);
    const auto candidates = pointers(all);
    const instant now{1h};
    std::deque<target_incarnation> running;
    std::map<std::string, std::size_t> sent;
    constexpr std::size_t requests = 4000;
    for (std::size_t request = 0; request < requests; ++request)
    {
        if (running.size() == in_flight)
        {
            health.note_answered(running.front(), 20ms, false);
            running.pop_front();
        }
        const auto* chosen = health.choose(candidates, {}, "a", now);
        health.note_sent(chosen->incarnation);
        running.push_back(chosen->incarnation);
        ++sent[chosen->incarnation.id];
    }
    return static_cast<double>(sent[all.back().incarnation.id]) / requests;
}

} // namespace

TEST_CASE("declared slots count up to twice the median of a service")
{
    const auto limit = [](const std::vector<std::uint32_t>& slots)
    { return max_counted_slots(pointers(targets(slots))); };
    CHECK(limit({6, 6, 6}) == 12);
    CHECK(limit({4, 8, 16}) == 16);
    // Of an even number, the lower one of the two in the middle.
    CHECK(limit({6, max_slots}) == 12);
    CHECK(limit({0, 0, max_slots}) == 2);
    CHECK(limit({max_slots, max_slots}) == max_slots);
    CHECK(limit({}) == 2);
}

// Guards against a service whose requests all go to one target, since its entry
// declares a capacity that no target has.
TEST_CASE("a target that declares a huge capacity gets no service's traffic")
{
    for (const std::size_t others : {1U, 3U, 9U, 30U})
        for (const std::uint32_t declared : {100U, 1'000'000U, max_slots})
            for (std::uint64_t seed = 1; seed <= 5; ++seed)
            {
                std::vector<std::uint32_t> slots(others, 4);
                slots.push_back(declared);
                // Its slots count twice; the spread of the costs adds a part.
                const double fair = 2.0 / static_cast<double>(others + 2);
                CAPTURE(others);
                CAPTURE(declared);
                CHECK(share_of_last(targets(slots), 8 * (others + 1), seed) <=
                      1.5 * fair);
            }
}

TEST_CASE("a target with twice the capacity of the others gets twice the work")
{
    const double share = share_of_last(targets({4, 4, 4, 4, 8}), 40, 1);
    CHECK(share > 0.28);
    CHECK(share < 0.40);
}
