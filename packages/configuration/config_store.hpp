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

/// A manifest in force, parsed and as it was published.
struct snapshot
{
    manifest::document document;
    std::string body;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

/// Where an offered manifest came from.
enum class source
{
    service,
    peer
};

/// Holds the manifest in force in this process. Generations only rise.
class config_store
{
public:
    using listener = std::function<void(const snapshot_ptr&)>;

    explicit config_store(runtime::metrics& counters) : m_metrics(counters) {}

    /// Adds a function that is called after each change, in order.
    void add_listener(listener value);

    /// Returns the manifest in force, or nothing before the first one.
    snapshot_ptr current() const;

    std::uint64_t generation() const;

    /// Takes \a body in where it is newer and good. Returns whether it did.
    bool offer(std::string body, source from);

private:
    bool judge(const manifest::document& parsed, const std::string& body,
               source from);
    void note_refused(const std::string& body, const std::string& fault,
                      source from);

    runtime::metrics& m_metrics;
    std::mutex m_change; ///< Held over the listeners, so that they see
                         ///< generations in order.
    mutable std::mutex m_mutex;
    decision::generation_gate m_gate;
    snapshot_ptr m_current;
    std::vector<listener> m_listeners;
};

} // namespace mangofold::configuration
