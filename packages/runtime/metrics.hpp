#pragma once

#include "decision/time.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace mangofold::runtime
{

class latency_histogram;

/// Names one time series: a metric and, where it has them, its labels as
/// they are printed between braces.
struct series
{
    std::string name;
    std::string labels;

    friend auto operator<=>(const series&, const series&) = default;
};

/// The counters, gauges and latencies of a process, printed as text in the
/// usual exposition format.
class metrics
{
public:
    using counter = std::atomic<std::uint64_t>;

    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Returns the counter of \a key; it stays valid for good.
    counter& count(const series& key);

    /// Sets a value that may rise and fall.
    void set_gauge(const series& key, double value);

    /// Notes one duration, in seconds when printed.
    void observe(const series& key, decision::duration value);

    /// Returns everything as text.
    std::string text() const;

private:
    mutable std::mutex m_mutex;
    std::map<series, std::unique_ptr<counter>> m_counters;
    std::map<series, double> m_gauges;
    std::map<series, std::unique_ptr<latency_histogram>> m_latencies;
};

/// Returns the label \a name with \a value.
inline std::string label(const std::string& name, std::string_view value)
{
    std::string text = name + "=\"";
    text += value;
    text += '"';
    return text;
}

} // namespace mangofold::runtime
