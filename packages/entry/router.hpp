#pragma once

#include "configuration/config_store.hpp"
#include "decision/pool_router.hpp"
#include "decision/retry_budget.hpp"
#include "runtime/clock.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace mangofold::entry
{

/// Selects a target for each attempt: holds a decision::pool_router and a retry
/// budget for each pool, all guarded by one mutex.
class router
{
public:
    using pool_router = decision::pool_router<decision::two_choice_selection>;

    router(std::string zone, const runtime::clock& clock, std::uint64_t seed);

    /// Updates pools and targets to the manifest in \a snapshot.
    void configure(const configuration::snapshot_ptr& snapshot);

    /// Returns a target of \a pool for \a work, or nothing if none is
    /// available.
    std::optional<std::string>
    pick(const std::string& pool, decision::work_class work,
         const std::vector<std::string>& avoided_targets);
    /// Returns the expected latency of a request through all stages of
    /// \a pipeline.
    decision::duration expected_latency(const manifest::pipeline& pipeline);

    void link_opened(const std::string& target);
    void link_closed(const std::string& target);
    void target_left(const std::string& target);
    void load_reported(const std::string& target,
                       const decision::target_load& load);
    void attempt_sent(const std::string& target, decision::work_class priority);
    void attempt_ended(const std::string& target, decision::work_class priority,
                       const decision::stage_result& result);

    /// Calls \a use with the retry budget of \a pool.
    template<typename Use>
    auto with_retry_budget(const std::string& pool, Use use)
    {
        const std::lock_guard lock(m_mutex);
        return use(m_budgets.at(pool));
    }

    /// Whether every pool that has targets has a linked one.
    bool has_linked_targets() const;

private:
    template<typename Update>
    void update_pool_of(const std::string& target, Update update)
    {
        const std::lock_guard lock(m_mutex);
        const auto pool = m_pool_by_target.find(target);
        if (pool != m_pool_by_target.end())
            update(m_pools.at(pool->second));
    }

    std::string m_zone;
    const runtime::clock& m_clock;
    std::uint64_t m_seed;
    mutable std::mutex m_mutex;
    std::map<std::string, pool_router> m_pools;
    std::map<std::string, decision::retry_budget> m_budgets;
    std::map<std::string, std::string> m_pool_by_target;
};

} // namespace mangofold::entry
