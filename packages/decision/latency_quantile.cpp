#include "decision/latency_quantile.hpp"

#include <algorithm>
#include <cmath>

namespace mangofold::decision
{

namespace
{

constexpr double first_bucket_ns = 50e3;
constexpr double bucket_growth = 1.3;
constexpr std::uint32_t decay_threshold = 2048;
constexpr std::uint32_t min_samples = 20;

std::size_t bucket_of(duration value, std::size_t count)
{
    const auto ns = static_cast<double>(value.count());
    if (ns <= first_bucket_ns)
        return 0;
    const double position =
        std::log(ns / first_bucket_ns) / std::log(bucket_growth);
    return std::min(static_cast<std::size_t>(position) + 1, count - 1);
}

} // namespace

void latency_quantile::add(duration value)
{
    ++m_counts.at(bucket_of(value, bucket_count));
    if (++m_total < decay_threshold)
        return;
    m_total = 0;
    for (std::uint32_t& count : m_counts)
    {
        count /= 2;
        m_total += count;
    }
}

duration latency_quantile::quantile(double rank) const
{
    if (m_total < min_samples)
        return duration::zero();
    const double target_count = rank * m_total;
    double cumulative = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < bucket_count &&
           cumulative + m_counts.at(bucket) < target_count)
        cumulative += m_counts.at(bucket++);
    return duration(static_cast<duration::rep>(
        first_bucket_ns *
        std::pow(bucket_growth, static_cast<double>(bucket))));
}

duration attempt_timeout(duration p99, duration remaining)
{
    constexpr duration min_timeout = std::chrono::milliseconds(20);
    constexpr int p99_multiplier = 3;
    if (p99 == duration::zero())
        return remaining;
    const duration preferred = std::max(p99 * p99_multiplier, min_timeout);
    // Two attempts no longer fit, so the current attempt may use all the time.
    if (remaining < p99 * 2)
        return remaining;
    return std::min(preferred, remaining - p99);
}

} // namespace mangofold::decision
