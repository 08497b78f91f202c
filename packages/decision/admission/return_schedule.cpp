#include "decision/admission/return_schedule.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// Callers follow a delay of at most a third of their remaining time.
constexpr double max_share_of_time_left = 0.3;

/// The largest part of the delay that is subtracted. Without it, all requests
/// of a burst return at the same moment and are rejected again.
constexpr double max_jitter = 0.2;

/// Returns a number from 0 to 1 that differs between requests.
double position_of(const digest& content)
{
    constexpr std::uint64_t positions = 1024;
    return static_cast<double>((content.high ^ content.low) % positions) /
           static_cast<double>(positions);
}

} // namespace

duration return_delay(const return_terms& terms)
{
    const double shortest = static_cast<double>(terms.call_time.count());
    const double longest =
        max_share_of_time_left * static_cast<double>(terms.time_left.count());
    const double until_free =
        static_cast<double>(terms.backlog.count()) / terms.spare_share;
    const double delay = std::min(std::max(until_free, shortest), longest);
    return duration(static_cast<duration::rep>(
        std::max(0.0, delay) * (1 - max_jitter * position_of(terms.content))));
}

} // namespace mangofold::decision
