#include "serving/target_connection_pool.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// How long it is known that a target states ids: longer than a request may
/// last or a connection may be idle.
constexpr duration stated_ids_memory = std::chrono::minutes(10);

} // namespace

connection_ptr
target_connection_pool::take_idle(const decision::target_incarnation& target)
{
    const auto found = m_idle.find(target);
    if (found == m_idle.end())
        return nullptr;
    std::vector<connection_ptr>& idle = found->second;
    const instant now = m_clock.now();
    while (!idle.empty())
    {
        connection_ptr connection = std::move(idle.back());
        idle.pop_back();
        // After unexpected bytes or a close it is unclear which request the
        // next answer on this connection would belong to.
        if (connection->usable_until > now && connection->is_reusable())
            return connection;
    }
    return nullptr;
}

void target_connection_pool::put_back(
    const decision::target_incarnation& target, connection_ptr connection,
    duration idle_time)
{
    connection->usable_until = m_clock.now() + idle_time;
    m_idle[target].push_back(std::move(connection));
}

void target_connection_pool::close_expired()
{
    const instant now = m_clock.now();
    for (auto entry = m_idle.begin(); entry != m_idle.end();)
    {
        std::erase_if(entry->second, [now](const connection_ptr& idle)
                      { return idle->usable_until <= now; });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
    std::erase_if(m_stated_ids_at, [now](const auto& stated)
                  { return stated.second + stated_ids_memory <= now; });
}

} // namespace mangofold::serving
