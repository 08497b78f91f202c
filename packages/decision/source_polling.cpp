#include "decision/source_polling.hpp"

#include <algorithm>

namespace mangofold::decision::source_polling
{

namespace
{

/// The loss of a watch without an error is detected only when the watch should
/// have ended; until then other entries relay the changes that they received.
/// With this many live entries one of them has a watch that ends soon, so that
/// each may wait longer.
constexpr double enough_live_entries = 8;

/// Sources hold a watch for half a minute at most; this leaves a third of that
/// for network delays and for sources that hold it for less.
constexpr duration max_timeout = std::chrono::seconds(20);
constexpr duration min_timeout = std::chrono::milliseconds(300);

/// Changes come in series when many targets start or are replaced. The next
/// watch begins this part of the adoption time later, and gets all changes made
/// meanwhile in one response. The pause is shorter than the time for which
/// catch_up leaves a change to the source before it requests a copy.
constexpr int pause_divisor = 6;

/// Part of the adoption time that the watch after a failed one waits: with the
/// retry delay, the time limit and the next attempt it takes less than half.
constexpr int failed_watch_divisor = 6;

/// The retry delay doubles up to a fifth of the adoption time, which leaves
/// several attempts within it once the source is back.
constexpr duration initial_retry_delay = std::chrono::milliseconds(50);
constexpr int max_retry_delay_divisor = 5;
constexpr std::uint32_t max_doublings = 10;

duration scaled(duration value, double fraction)
{
    return duration(static_cast<duration::rep>(
        static_cast<double>(value.count()) * fraction));
}

} // namespace

duration max_watch_timeout(duration adoption_time, std::size_t live_entries)
{
    const double factor =
        std::max(1.0, static_cast<double>(live_entries) / enough_live_entries);
    return std::clamp(scaled(adoption_time, factor), min_timeout, max_timeout);
}

duration watch_timeout(duration adoption_time, std::size_t live_entries,
                       double fraction)
{
    const duration longest = max_watch_timeout(adoption_time, live_entries);
    const duration shortest =
        std::min(longest, std::max(adoption_time / 2, min_timeout));
    return shortest + scaled(longest - shortest, fraction);
}

// What happened to the watch that failed may happen to the next one: it waits
// at a source that does not respond, or at one that lost its history and says
// so only at the end.
duration watch_timeout_after_failure(duration adoption_time)
{
    return std::max(adoption_time / failed_watch_divisor, min_timeout);
}

duration pause_after_changes(duration adoption_time)
{
    return adoption_time / pause_divisor;
}

duration retry_delay(duration adoption_time, std::uint32_t failures,
                     double fraction)
{
    const std::uint32_t doublings =
        std::min(failures > 0 ? failures - 1 : 0, max_doublings);
    const duration longest =
        std::max(adoption_time / max_retry_delay_divisor, initial_retry_delay);
    const duration base =
        std::min(initial_retry_delay * (1U << doublings), longest);
    return base / 2 + scaled(base, fraction);
}

} // namespace mangofold::decision::source_polling
