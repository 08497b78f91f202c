#pragma once

#include "decision/latency_quantile.hpp"

#include <map>
#include <mutex>
#include <string>

namespace mangofold::entry
{

/// How long the attempts at each stage usually take.
class stage_timing
{
public:
    /// Notes an attempt at \a stage that was answered.
    void add(const std::string& stage, decision::duration value)
    {
        const std::lock_guard lock(m_mutex);
        m_stages[stage].add(value);
    }

    /// Returns the 99th percentile for \a stage, or zero where not known.
    decision::duration usual(const std::string& stage) const
    {
        constexpr double nearly_all = 0.99;
        const std::lock_guard lock(m_mutex);
        const auto found = m_stages.find(stage);
        return found == m_stages.end() ? decision::duration::zero()
                                       : found->second.quantile(nearly_all);
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, decision::latency_quantile> m_stages;
};

} // namespace mangofold::entry
