#pragma once

#include "decision/generation_gate.hpp"
#include "manifest/manifest.hpp"
#include "runtime/metrics.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace mangofold::configuration
{

/// One configuration of the process: the parsed manifest and its original
/// text.
struct snapshot
{
    manifest::document document;
    std::string body; ///< The JSON text as published.
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

/// The sender of an offered manifest.
enum class source
{
    service, ///< The platform's configuration service.
    peer     ///< Another process that has adopted the manifest already.
};

/// Holds the manifest that this process currently uses. Manifests are offered
/// by the platform and by peers; only a valid one of a higher generation
/// replaces the current one, so that a stale sender cannot revert a change.
class config_store
{
public:
    using listener = std::function<void(const snapshot_ptr&)>;

    explicit config_store(runtime::metrics& counters) : m_metrics(counters) {}

    /// Adds a function that is called with each newly adopted manifest, in
    /// ascending order of generations. Not thread-safe: add all listeners
    /// before the first offer.
    void add_listener(listener value);

    /// Returns the current manifest, or null before the first one.
    snapshot_ptr current() const;

    /// Returns the generation of the current manifest, 0 before the first one.
    std::uint64_t generation() const;

    /// Adopts the manifest in \a body if it is valid and newer than the
    /// current one. Returns whether the manifest was adopted.
    bool offer(std::string body, source from);

private:
    bool evaluate(const manifest::document& parsed, const std::string& body,
                  source from);
    void record_invalid(const std::string& body, const std::string& error,
                        source from);

    runtime::metrics& m_metrics;
    /// Serializes offers, including the calls of the listeners, so that
    /// listeners see generations in order.
    std::mutex m_offer_mutex;
    mutable std::mutex m_mutex; ///< Guards m_gate and m_current.
    decision::generation_gate m_gate;
    snapshot_ptr m_current;
    std::vector<listener> m_listeners;
};

} // namespace mangofold::configuration
