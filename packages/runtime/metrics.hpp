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

/// The key of one time series.
struct series
{
    std::string name;   ///< The name of the metric.
    std::string labels; ///< As printed between braces; empty for none.

    friend auto operator<=>(const series&, const series&) = default;
};

/// The counters, gauges and latency histograms of a process, exported in the
/// Prometheus text format. Thread-safe.
class metrics
{
public:
    using counter = std::atomic<std::uint64_t>;

    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Returns the counter of \a key, created with 0 on first use. The
    /// reference stays valid as long as this object.
    counter& count(const series& key);

    /// Sets the gauge of \a key.
    void set_gauge(const series& key, double value);

    /// Adds a duration to the histogram of \a key, which is exported in
    /// seconds.
    void observe(const series& key, decision::duration value);

    /// Returns all metrics in the text format.
    std::string text() const;

private:
    mutable std::mutex m_mutex;
    std::map<series, std::unique_ptr<counter>> m_counters;
    std::map<series, double> m_gauges;
    std::map<series, std::unique_ptr<latency_histogram>> m_latencies;
};

/// Returns the label \a name with \a value in the text format.
inline std::string label(const std::string& name, std::string_view value)
{
    std::string text = name + "=\"";
    text += value;
    text += '"';
    return text;
}

} // namespace mangofold::runtime
