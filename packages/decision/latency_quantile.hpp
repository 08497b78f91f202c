#pragma once

#include "decision/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace mangofold::decision
{

/// Estimates quantiles of recent durations in a few hundred bytes: counts in
/// buckets that grow by a constant factor, halved again and again so that
/// old durations fade.
class latency_quantile
{
public:
    void add(duration value);

    /// Returns a duration that a share \a share of the recent ones stayed
    /// below, or zero while too few are known.
    duration value(double share) const;

private:
    static constexpr std::size_t bucket_count = 64;

    std::array<std::uint32_t, bucket_count> m_counts{};
    std::uint32_t m_total = 0;
};

/// Returns how long one attempt may take: a few times what nearly all take,
/// and where that still leaves time for another one, not so long that none
/// is left. \a usual is the 99th percentile, \a left the rest of the
/// deadline.
duration attempt_timeout(duration usual, duration left);

} // namespace mangofold::decision
