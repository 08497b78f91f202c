#include "serving/target_links.hpp"

#include <algorithm>

namespace mangofold::serving
{

connection_ptr target_links::take_idle(const decision::target_incarnation& id)
{
    const auto found = m_idle.find(id);
    if (found == m_idle.end())
        return nullptr;
    std::vector<connection_ptr>& idle = found->second;
    const instant now = m_clock.now();
    while (!idle.empty())
    {
        connection_ptr one = std::move(idle.back());
        idle.pop_back();
        // Bytes that came unasked, or an end, leave doubt about what the
        // next answer on it would belong to.
        if (one->usable_until > now && one->is_quiet())
            return one;
    }
    return nullptr;
}

void target_links::give_back(const decision::target_incarnation& id,
                             connection_ptr connection, duration idle_time)
{
    connection->usable_until = m_clock.now() + idle_time;
    m_idle[id].push_back(std::move(connection));
}

void target_links::drop_old()
{
    const instant now = m_clock.now();
    for (auto one = m_idle.begin(); one != m_idle.end();)
    {
        std::erase_if(one->second, [now](const connection_ptr& idle)
                      { return idle->usable_until <= now; });
        one = one->second.empty() ? m_idle.erase(one) : std::next(one);
    }
}

} // namespace mangofold::serving
