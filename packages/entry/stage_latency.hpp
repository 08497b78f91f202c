#pragma once

#include "decision/latency_quantile.hpp"

#include <map>
#include <mutex>
#include <string>

namespace mangofold::entry
{

/// Measures the latency of the attempts at each stage. All functions may be
/// called from any thread.
class stage_latency
{
public:
    /// Adds the latency \a value of a completed attempt at \a stage.
    void add(const std::string& stage, decision::duration value)
    {
        const std::lock_guard lock(m_mutex);
        m_stages[stage].add(value);
    }

    /// Returns the 99th percentile of the latency of \a stage, or zero if no
    /// attempt has completed.
    decision::duration p99(const std::string& stage) const
    {
        constexpr double probability = 0.99;
        const std::lock_guard lock(m_mutex);
        const auto found = m_stages.find(stage);
        return found == m_stages.end() ? decision::duration::zero()
                                       : found->second.quantile(probability);
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, decision::latency_quantile> m_stages;
};

} // namespace mangofold::entry
