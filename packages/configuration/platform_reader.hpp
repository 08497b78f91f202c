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

/// Reads the manifest and the list of instances from the platform. Each call
/// of a read function makes one HTTP request and returns the pause before the
/// next one, so that the caller runs it in a loop on a thread of its own.
class platform_reader
{
public:
    /// How a process learns of new manifests.
    enum class mode
    {
        watch, ///< By long polling: the platform answers when there is a newer
               ///< generation.
        poll   ///< By requests that are answered at once, made rarely.
    };

    struct intervals
    {
        std::chrono::milliseconds watch{10'000}; ///< Longest long poll.
        std::chrono::milliseconds poll{60'000};
        std::chrono::milliseconds retry{500}; ///< After a failed read.
        std::chrono::milliseconds instances{1'000};
    };

    using leaving_listener =
        std::function<void(const std::set<std::string>& targets)>;

    platform_reader(const runtime::address& service, config_store& store,
                    runtime::metrics& counters, mode manifest_mode,
                    intervals pauses, std::uint64_t seed);

    /// Sets the function that is called after each read of the instance list
    /// with the ids of the targets that the platform reports as leaving.
    void set_leaving_listener(leaving_listener value);

    /// Makes a long poll in progress end soon, for a process that stops.
    void set_stopping() { m_is_stopping = true; }

    /// Requests the manifest once. Returns the pause before the next request.
    std::chrono::milliseconds read_manifest();

    /// Requests the instance list once. Returns the pause before the next
    /// request, which grows with the number \a readers of processes that
    /// report leaving targets to the same sidecars.
    std::chrono::milliseconds read_instances(std::uint32_t readers);

private:
    std::chrono::milliseconds with_jitter(std::chrono::milliseconds pause);
    void count_read(const std::string& kind, const std::string& outcome);

    config_store& m_store;
    runtime::metrics& m_metrics;
    mode m_manifest_mode;
    intervals m_pauses;
    decision::random_source m_random;
    runtime::address m_service;
    std::atomic<bool> m_is_stopping{false};
    runtime::http_client m_manifest_client;
    runtime::http_client m_instances_client;
    leaving_listener m_leaving_listener;
    std::set<std::string> m_leaving; ///< From the last successful read.
};

} // namespace mangofold::configuration
