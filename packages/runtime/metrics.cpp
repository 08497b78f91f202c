#include "runtime/metrics.hpp"

#include "runtime/latency_histogram.hpp"

#include <spdlog/fmt/fmt.h>

namespace mangofold::runtime
{

metrics::metrics() = default;
metrics::~metrics() = default;

metrics::counter& metrics::count(const series& key)
{
    const std::lock_guard lock(m_mutex);
    auto& entry = m_counters[key];
    if (!entry)
        entry = std::make_unique<counter>(0);
    return *entry;
}

void metrics::set_gauge(const series& key, double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[key] = value;
}

void metrics::observe(const series& key, decision::duration value)
{
    const std::lock_guard lock(m_mutex);
    auto& entry = m_latencies[key];
    if (!entry)
        entry = std::make_unique<latency_histogram>();
    entry->add(value);
}

std::string metrics::text() const
{
    const auto braces = [](const series& key)
    { return key.labels.empty() ? "" : "{" + key.labels + "}"; };
    const std::lock_guard lock(m_mutex);
    std::string lines;
    for (const auto& [key, value] : m_counters)
        lines += fmt::format("{}{} {}\n", key.name, braces(key), value->load());
    for (const auto& [key, value] : m_gauges)
        lines += fmt::format("{}{} {}\n", key.name, braces(key), value);
    for (const auto& [key, value] : m_latencies)
        lines += value->text(key.name, key.labels);
    return lines;
}

} // namespace mangofold::runtime
