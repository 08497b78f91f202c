#include "decision/ownership_history.hpp"

#include "decision/owner_order.hpp"

#include <algorithm>
#include <utility>

namespace mangofold::decision
{

namespace
{

// Bounds memory when lists change often. While dropped lists may lie within
// the horizon, every key counts as moved.
constexpr std::size_t max_past_lists = 32;

} // namespace

void ownership_history::set_targets(std::vector<std::string> targets,
                                    instant now)
{
    std::sort(targets.begin(), targets.end());
    if (targets == m_current_targets)
        return;
    if (!m_current_targets.empty())
        m_past_lists.push_back({std::move(m_current_targets), now});
    if (m_past_lists.size() > max_past_lists)
        m_past_lists.pop_front();
    m_current_targets = std::move(targets);
}

bool ownership_history::is_owner(
    const digest& key, const std::vector<std::string>& renounced_by) const
{
    return first_owner(key, m_current_targets, renounced_by) == m_self;
}

// After a change of the list, the new owner of a key does not know what the
// previous owner ran, so a resend could run twice. Such keys are refused until
// the horizon has passed, after which no caller resends.
bool ownership_history::had_other_owner(
    const digest& key, const std::vector<std::string>& renounced_by,
    instant now, duration horizon) const
{
    if (m_past_lists.size() >= max_past_lists &&
        m_past_lists.front().ended + horizon > now)
        return true;
    return std::any_of(m_past_lists.begin(), m_past_lists.end(),
                       [&](const past_list& past)
                       {
                           return past.ended + horizon > now &&
                                  first_owner(key, past.targets,
                                              renounced_by) != m_self;
                       });
}

std::string
ownership_history::first_owner(const digest& key,
                               const std::vector<std::string>& targets,
                               const std::vector<std::string>& excluded)
{
    for (std::string& target : owner_order(key, targets))
    {
        if (std::find(excluded.begin(), excluded.end(), target) ==
            excluded.end())
            return std::move(target);
    }
    return {};
}

} // namespace mangofold::decision
