#include "decision/source_polling.hpp"

#include <algorithm>

namespace mangofold::decision::source_pace
{

namespace
{

/// A watch that was cut without a word is noticed when it should have ended;
/// until then other entries tell what they heard. Where that many answer, one
/// of them has a watch that ends soon, so that each may wait longer.
constexpr double enough_others = 8;

/// Sources hold a watch for half a minute at most; this leaves a third for
/// the way and for sources that hold it for less.
constexpr duration most_wait = std::chrono::seconds(20);
constexpr duration least_wait = std::chrono::milliseconds(300);

/// What changes comes in series, when many targets start or are replaced. The
/// next watch begins this part of the bound later, and hears of all that came
/// meanwhile in one answer. It is less than the part that other entries leave
/// to the source before they are asked for copies.
constexpr int rests_per_bound = 6;

/// The pause after a failure doubles up to a fifth of the bound, which leaves
/// several tries within it once the source is back.
constexpr duration first_pause = std::chrono::milliseconds(50);
constexpr int pauses_per_bound = 5;
constexpr std::uint32_t most_doublings = 10;

duration part_of(duration value, double fraction)
{
    return duration(static_cast<duration::rep>(
        static_cast<double>(value.count()) * fraction));
}

} // namespace

duration longest_watch(duration bound, std::size_t answering)
{
    const double times =
        std::max(1.0, static_cast<double>(answering) / enough_others);
    return std::clamp(part_of(bound, times), least_wait, most_wait);
}

duration watch_time(duration bound, std::size_t answering, double fraction)
{
    const duration longest = longest_watch(bound, answering);
    const duration shortest =
        std::min(longest, std::max(bound / 2, least_wait));
    return shortest + part_of(longest - shortest, fraction);
}

duration rest_time(duration bound)
{
    return bound / rests_per_bound;
}

duration failure_pause(duration bound, std::uint32_t failures, double fraction)
{
    const std::uint32_t doublings =
        std::min(failures > 0 ? failures - 1 : 0, most_doublings);
    const duration longest = std::max(bound / pauses_per_bound, first_pause);
    const duration base = std::min(first_pause * (1U << doublings), longest);
    return base / 2 + part_of(base, fraction);
}

} // namespace mangofold::decision::source_pace
