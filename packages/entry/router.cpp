#include "entry/router.hpp"

#include <algorithm>

namespace mangofold::entry
{

namespace
{

// One retry for ten first attempts, and a reserve of 20 for a burst of
// failures.
constexpr double retry_ratio = 0.1;
constexpr double retry_reserve = 20;

} // namespace

router::router(std::string zone, const runtime::clock& clock,
               std::uint64_t seed)
    : m_zone(std::move(zone)), m_clock(clock), m_seed(seed)
{
}

void router::configure(const configuration::snapshot_ptr& snapshot)
{
    const std::lock_guard lock(m_mutex);
    m_pool_by_target.clear();
    for (const manifest::pool& pool : snapshot->document.pools)
    {
        std::vector<decision::target_location> locations;
        for (const manifest::target& target : pool.targets)
        {
            locations.push_back({target.id, target.zone});
            m_pool_by_target[target.id] = pool.id;
        }
        auto [found, is_new] = m_pools.try_emplace(
            pool.id, m_zone, decision::two_choice_selection{},
            decision::ejection_policy{}, ++m_seed);
        found->second.set_targets(locations);
        m_budgets.try_emplace(pool.id, retry_ratio, retry_reserve);
    }
}

std::optional<std::string>
router::pick(const std::string& pool, decision::work_class work,
             const std::vector<std::string>& avoided_targets)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return std::nullopt;
    return found->second.pick(work, avoided_targets, m_clock.now());
}

decision::duration router::expected_latency(const manifest::pipeline& pipeline)
{
    const decision::instant now = m_clock.now();
    decision::duration sum{};
    const std::lock_guard lock(m_mutex);
    for (const manifest::stage& stage : pipeline.stages)
    {
        sum += m_pools.at(stage.pool).expected_latency(pipeline.priority, now);
    }
    return sum;
}

void router::link_opened(const std::string& target)
{
    update_pool_of(target, [&](pool_router& pool)
                   { pool.link_opened(target, m_clock.now()); });
}

void router::link_closed(const std::string& target)
{
    update_pool_of(target,
                   [&](pool_router& pool) { pool.link_closed(target); });
}

void router::target_left(const std::string& target)
{
    update_pool_of(target,
                   [&](pool_router& pool) { pool.target_left(target); });
}

void router::load_reported(const std::string& target,
                           const decision::target_load& load)
{
    update_pool_of(target, [&](pool_router& pool)
                   { pool.load_reported(target, load); });
}

void router::attempt_sent(const std::string& target,
                          decision::work_class priority)
{
    update_pool_of(target, [&](pool_router& pool)
                   { pool.attempt_sent(target, priority); });
}

void router::attempt_ended(const std::string& target,
                           decision::work_class priority,
                           const decision::stage_result& result)
{
    update_pool_of(
        target, [&](pool_router& pool)
        { pool.attempt_ended(target, priority, result, m_clock.now()); });
}

bool router::has_linked_targets() const
{
    const std::lock_guard lock(m_mutex);
    if (m_pools.empty())
        return false;
    return std::all_of(m_pools.begin(), m_pools.end(),
                       [](const auto& pool)
                       {
                           // A pool that is evacuated as a whole has no
                           // targets to wait for.
                           const auto& targets = pool.second.targets();
                           return targets.empty() ||
                                  std::any_of(
                                      targets.begin(), targets.end(),
                                      [](const auto& target)
                                      { return target.second.is_linked; });
                       });
}

} // namespace mangofold::entry
