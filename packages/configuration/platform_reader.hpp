#pragma once

#include "configuration/config_store.hpp"
#include "decision/random_source.hpp"
#include "runtime/http_client.hpp"
#include "runtime/metrics.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace mangofold::configuration
{

/// Reads what the platform publishes: the manifest and the list of
/// instances. Each step is one read or one waiting watch.
class platform_reader
{
public:
    /// How a process follows the manifest.
    enum class mode
    {
        watch, ///< A read waits until there is a newer generation.
        poll   ///< A read answers at once, and is made rarely.
    };

    struct intervals
    {
        std::chrono::milliseconds watch{10'000};
        std::chrono::milliseconds poll{60'000};
        std::chrono::milliseconds after_failure{500};
        std::chrono::milliseconds instances{1'000};
    };

    using leaving_listener =
        std::function<void(const std::set<std::string>& targets)>;

    platform_reader(const runtime::address& service, config_store& store,
                    runtime::metrics& counters, mode how, intervals waits,
                    std::uint64_t seed);

    /// Sets who is told which targets the platform calls leaving.
    void set_leaving_listener(leaving_listener value);

    /// Makes a watch that waits end soon, for a process that stops.
    void set_stopping() { m_is_stopping = true; }

    /// Reads or watches the manifest once. Returns how long to wait then.
    std::chrono::milliseconds read_manifest();

    /// Reads the instance list once. Returns how long to wait then, given
    /// that \a readers processes tell the same sidecars what they read.
    std::chrono::milliseconds read_instances(std::uint32_t readers);

private:
    std::chrono::milliseconds jittered(std::chrono::milliseconds wait);
    void count_read(const std::string& kind, const std::string& outcome);

    config_store& m_store;
    runtime::metrics& m_metrics;
    mode m_mode;
    intervals m_waits;
    decision::random_source m_random;
    runtime::address m_service;
    std::atomic<bool> m_is_stopping{false};
    runtime::http_client m_manifest_client;
    runtime::http_client m_instances_client;
    leaving_listener m_leaving_listener;
    std::set<std::string> m_leaving; ///< As last read.
};

} // namespace mangofold::configuration
