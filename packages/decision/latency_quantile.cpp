#include "decision/latency_quantile.hpp"

#include <algorithm>
#include <cmath>

namespace mangofold::decision
{

namespace
{

constexpr double lowest_ns = 50e3;
constexpr double growth = 1.3;
constexpr std::uint32_t halve_at = 2048;
constexpr std::uint32_t least_known = 20;

std::size_t bucket_of(duration value, std::size_t count)
{
    const auto ns = static_cast<double>(value.count());
    if (ns <= lowest_ns)
        return 0;
    const double place = std::log(ns / lowest_ns) / std::log(growth);
    return std::min(static_cast<std::size_t>(place) + 1, count - 1);
}

} // namespace

void latency_quantile::add(duration value)
{
    ++m_counts.at(bucket_of(value, bucket_count));
    if (++m_total < halve_at)
        return;
    m_total = 0;
    for (std::uint32_t& count : m_counts)
    {
        count /= 2;
        m_total += count;
    }
}

duration latency_quantile::value(double share) const
{
    if (m_total < least_known)
        return duration::zero();
    const double wanted = share * m_total;
    double below = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < bucket_count && below + m_counts.at(bucket) < wanted)
        below += m_counts.at(bucket++);
    return duration(static_cast<duration::rep>(
        lowest_ns * std::pow(growth, static_cast<double>(bucket))));
}

duration attempt_timeout(duration usual, duration left)
{
    constexpr duration shortest = std::chrono::milliseconds(20);
    constexpr int times_usual = 3;
    if (usual == duration::zero())
        return left;
    const duration patient = std::max(usual * times_usual, shortest);
    // Two more usual attempts no longer fit: rather wait for this one.
    if (left < usual * 2)
        return left;
    return std::min(patient, left - usual);
}

} // namespace mangofold::decision
