#include "runtime/latency_histogram.hpp"

#include <spdlog/fmt/fmt.h>

namespace mangofold::runtime
{

namespace
{

constexpr unsigned bucket_count = 42;
constexpr double min_s = 50e-6;
constexpr double max_s = 100;

} // namespace

latency_histogram::latency_histogram()
    : m_histogram(
          boost::histogram::make_histogram(axis(bucket_count, min_s, max_s)))
{
}

void latency_histogram::add(decision::duration value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    m_histogram(seconds);
    m_sum += seconds;
    ++m_count;
}

std::string latency_histogram::text(const std::string& name,
                                    const std::string& labels) const
{
    const std::string comma = labels.empty() ? "" : ",";
    std::string lines;
    double cumulative = m_histogram.at(-1); // The underflow bucket.
    for (const auto& bucket : boost::histogram::indexed(m_histogram))
    {
        cumulative += *bucket;
        lines += fmt::format("{}_bucket{{{}{}le=\"{:.6g}\"}} {}\n", name,
                             labels, comma, bucket.bin().upper(), cumulative);
    }
    const std::string braces = labels.empty() ? "" : "{" + labels + "}";
    lines += fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels,
                         comma, m_count);
    lines += fmt::format("{}_sum{} {:.6f}\n", name, braces, m_sum);
    lines += fmt::format("{}_count{} {}\n", name, braces, m_count);
    return lines;
}

} // namespace mangofold::runtime
