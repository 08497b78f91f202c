#pragma once

#include "decision/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace mangofold::decision
{

/// Estimates quantiles of recent durations with a histogram of a few hundred
/// bytes. The buckets grow by a constant factor; the counts are halved
/// regularly so that old durations lose weight.
class latency_quantile
{
public:
    void add(duration value);

    /// Returns the \a rank quantile, such as 0.99, of the recent durations, or
    /// zero while there are too few samples.
    duration quantile(double rank) const;

private:
    static constexpr std::size_t bucket_count = 64;

    std::array<std::uint32_t, bucket_count> m_counts{};
    std::uint32_t m_total = 0;
};

/// Returns the timeout of one attempt: a multiple of the 99th percentile
/// \a p99, shortened so that the time \a remaining until the deadline still
/// allows another attempt, or all of it where two attempts do not fit. A
/// \a p99 of zero means that it is unknown.
duration attempt_timeout(duration p99, duration remaining);

} // namespace mangofold::decision
