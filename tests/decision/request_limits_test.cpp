#include "decision/request_limits.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const instant start = instant{} + 100s;
constexpr auto all_entries = request_limits::senders::all_entries;

/// One entry of a simulated fleet that sends as many requests as it may to a
/// target that states a limit in each response.
struct sender
{
    request_limits limits;
    fleet_position position;
};

/// Returns the entries of a fleet that is partitioned into \a groups, each of
/// which reaches its own members only. A group takes half of the rest of the
/// fleet, the last one what remains.
std::vector<sender> make_fleet(std::size_t entries, std::size_t groups,
                               std::uint64_t seed)
{
    std::vector<sender> fleet;
    while (fleet.size() < entries)
    {
        const std::size_t rest = entries - fleet.size();
        const std::size_t size = --groups == 0 ? rest : (rest + 1) / 2;
        for (std::size_t index = 0; index < size; ++index)
            fleet.push_back({request_limits(seed * 1000 + fleet.size()),
                             {{index, size}, entries}});
        groups = std::max<std::size_t>(groups, 1);
    }
    return fleet;
}

/// Returns the times at which \a fleet sends to a target with the limit
/// \a per_second within \a period.
std::vector<instant> send_times(std::vector<sender> fleet, double per_second,
                                duration period)
{
    for (sender& entry : fleet)
    {
        entry.limits.set_position_source(
            [position = entry.position](const std::string&)
            { return std::optional(position); });
        entry.limits.note_response("t", per_second, start, start);
    }
    std::vector<instant> sent;
    for (instant now = start; now < start + period; now += 10ms)
        for (sender& entry : fleet)
            if (entry.limits.next_send("t", all_entries, now) <= now)
            {
                entry.limits.note_sent("t", now);
                entry.limits.note_response("t", per_second, now, now);
                sent.push_back(now);
            }
    return sent;
}

std::size_t max_in_four_seconds(const std::vector<instant>& sent)
{
    std::size_t result = 0;
    for (auto from = sent.begin(); from != sent.end(); ++from)
        result = std::max<std::size_t>(
            result, static_cast<std::size_t>(
                        std::upper_bound(from, sent.end(), *from + 4s) - from));
    return result;
}

/// Returns how many requests a target with the limit \a per_second may get in
/// four seconds.
double allowed_in_four_seconds(double per_second)
{
    return 1.5 * 4 * per_second + 5;
}

} // namespace

// Guards against a target that gets more than its limit from the sum of many
// entries, each of which keeps to it by itself.
TEST_CASE("all entries together send a limited target what it accepts")
{
    for (const std::size_t entries : {1U, 4U, 6U, 68U, 300U})
        for (const double limit : {0.0, 0.5, 1.0, 3.0, 20.0})
            for (const std::uint64_t seed : {1U, 2U, 3U})
            {
                CAPTURE(entries);
                CAPTURE(limit);
                CAPTURE(seed);
                const auto sent =
                    send_times(make_fleet(entries, 1, seed), limit, 40s);
                CHECK(static_cast<double>(max_in_four_seconds(sent)) <=
                      allowed_in_four_seconds(limit));
                CHECK(static_cast<double>(sent.size()) >= 0.6 * limit * 40);
                CHECK(sent.size() >= 3); // To learn that the need has ended.
            }
}

// Guards against parts of a fleet that do not reach each other and each use the
// whole limit.
TEST_CASE("a partitioned fleet sends a limited target what it accepts")
{
    for (const std::size_t entries : {4U, 6U, 68U, 300U})
        for (const std::size_t groups : {2U, 3U, 4U})
            for (const double limit : {0.5, 1.0, 3.0, 20.0})
            {
                CAPTURE(entries);
                CAPTURE(groups);
                CAPTURE(limit);
                const auto sent =
                    send_times(make_fleet(entries, groups, 5), limit, 40s);
                CHECK(static_cast<double>(max_in_four_seconds(sent)) <=
                      allowed_in_four_seconds(limit));
            }
}

// Guards against an entry that has just started and takes itself for the only
// one.
TEST_CASE("an entry that does not know the fleet sends nothing within a limit")
{
    request_limits limits;
    std::optional<fleet_position> position;
    limits.set_position_source([&](const std::string&) { return position; });
    limits.note_response("t", 1, start, start);
    CHECK(limits.next_send("t", all_entries, start) == instant::max());
    position = fleet_position{{0, 6}, 6};
    CHECK(limits.next_send("t", all_entries, start + 1s) < start + 10s);
}

TEST_CASE("a raised limit shortens the wait for the next request")
{
    request_limits limits;
    limits.note_response("t", 0.5, start, start);
    limits.note_sent("t", start);
    CHECK(limits.next_send("t", all_entries, start) > start + 2s);
    limits.note_response("t", 10, start, start);
    CHECK(limits.next_send("t", all_entries, start) < start + 200ms);
    CHECK(limits.next_send("other", all_entries, start) == start);
}

TEST_CASE("a limit lasts until the target responds without it")
{
    request_limits limits;
    CHECK_FALSE(limits.note_response("t", std::nullopt, start, start));
    CHECK(limits.note_response("t", 2.5, start, start));
    CHECK_FALSE(limits.note_response("t", 2.5, start, start + 1s));
    CHECK(limits.limit_of("t") == 2.5);
    CHECK(limits.note_response("t", 1, start + 1s, start + 2s));
    CHECK(limits.note_response("t", std::nullopt, start + 3s, start + 4s));
    CHECK(limits.limit_of("t") == std::nullopt);
    CHECK_FALSE(limits.has_any());
}

// Guards against a limit that is dropped because of a response that the target
// generated before it stated the limit.
TEST_CASE("a response to an earlier request does not end a limit")
{
    request_limits limits;
    limits.note_response("t", 1, start, start + 1s);
    CHECK_FALSE(
        limits.note_response("t", std::nullopt, start + 500ms, start + 2s));
    CHECK(limits.limit_of("t") == 1);
}

TEST_CASE("a limit belongs to one incarnation of a target")
{
    request_limits limits;
    limits.note_response({"t", 1}, 1, start, start);
    CHECK(limits.limit_of({"t", 2}) == std::nullopt);
}

TEST_CASE("limits of targets that are gone are removed")
{
    target_directory targets;
    targets.set_source_available(true, start);
    targets.note({"t", "s", "a:1", "z", 1, false, 1});
    request_limits limits;
    limits.note_response("t", 1, start, start);
    limits.note_response("gone", 1, start, start);
    limits.retain(targets);
    CHECK(limits.size() == 1);
    CHECK(limits.limit_of("t") == 1);
}

// Guards against entries that send nothing to a target and therefore never see
// that its need has ended.
TEST_CASE("the end of a limit reaches entries that send nothing to the target")
{
    request_limits sender;
    request_limits other;
    other.set_position_source(
        [](const std::string&) {
            return std::optional(fleet_position{{5, 6}, 6});
        });
    sender.note_response("t", 1, start, start);
    for (const limit_statement& known : sender.statements())
        CHECK(other.merge(known, start));
    CHECK(sender.digest() == other.digest());
    CHECK(other.next_send("t", all_entries, start) == instant::max());
    CHECK(sender.note_response("t", std::nullopt, start + 5s, start + 6s));
    CHECK(sender.digest() != other.digest());
    const auto older = other.statements();
    for (const limit_statement& known : sender.statements())
        CHECK(other.merge(known, start + 7s));
    CHECK(other.next_send("t", all_entries, start + 7s) == start + 7s);
    for (const limit_statement& known : older)
        CHECK_FALSE(other.merge(known, start + 8s));
    CHECK(sender.note_response("t", 2, start + 8s, start + 9s));
    for (const limit_statement& known : sender.statements())
        CHECK(other.merge(known, start + 10s));
    CHECK(other.limit_of("t") == 2);
}

// Guards against a target that gets no requests for good because the entries
// that may send to it receive none.
TEST_CASE("a limit that no response confirms is forgotten")
{
    for (const std::size_t entries : {6U, 300U})
    {
        std::size_t kept_too_long = 0;
        std::size_t forgotten_early = 0;
        const duration shortest = std::max<duration>(30s, 4s * entries);
        for (std::uint64_t seed = 0; seed < 50; ++seed)
        {
            request_limits limits(seed);
            limits.set_position_source(
                [entries](const std::string&) {
                    return std::optional(
                        fleet_position{{entries - 1, entries}, entries});
                });
            limits.note_response("t", 1, start, start);
            limits.next_send("t", all_entries, start);
            limits.expire(start + shortest - 1s);
            forgotten_early += limits.has_any() ? 0 : 1;
            limits.expire(start + 2 * shortest);
            kept_too_long += limits.has_any() ? 1 : 0;
        }
        CHECK(forgotten_early == 0);
        CHECK(kept_too_long == 0);
    }
}

TEST_CASE("a statement from the future or of long ago is not trusted")
{
    request_limits limits;
    CHECK(limits.merge({"t", 1, start + 100s}, start));
    CHECK(limits.note_response("t", std::nullopt, start + 1s, start + 2s));
    CHECK_FALSE(limits.merge({"u", 1, start - 1h}, start));
}
