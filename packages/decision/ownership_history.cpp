#include "decision/ownership_history.hpp"

#include "decision/owner_order.hpp"

#include <algorithm>
#include <utility>

namespace mangofold::decision
{

namespace
{

// Bounds memory when lists change often; what is older is treated as moved.
constexpr std::size_t max_epochs = 32;

} // namespace

void ownership_history::set_targets(std::vector<std::string> targets,
                                    instant now)
{
    std::sort(targets.begin(), targets.end());
    if (targets == m_targets)
        return;
    if (!m_targets.empty())
        m_earlier.push_back({std::move(m_targets), now});
    if (m_earlier.size() > max_epochs)
        m_earlier.pop_front();
    m_targets = std::move(targets);
}

bool ownership_history::is_owner(
    const digest& key, const std::vector<std::string>& renounced_by) const
{
    return first_owner(key, m_targets, renounced_by) == m_self;
}

// After a change of the list, the new owner of a key knows nothing of what
// the old owner ran: a resend would book twice. Within the horizon, after
// which no caller resends, such keys are not accepted here.
bool ownership_history::has_moved(const digest& key,
                                  const std::vector<std::string>& renounced_by,
                                  instant now, duration horizon) const
{
    if (m_earlier.size() >= max_epochs &&
        m_earlier.front().ended + horizon > now)
        return true;
    return std::any_of(m_earlier.begin(), m_earlier.end(),
                       [&](const epoch& one)
                       {
                           return one.ended + horizon > now &&
                                  first_owner(key, one.targets, renounced_by) !=
                                      m_self;
                       });
}

std::string
ownership_history::first_owner(const digest& key,
                               const std::vector<std::string>& targets,
                               const std::vector<std::string>& without)
{
    for (std::string& target : owner_order(key, targets))
    {
        if (std::find(without.begin(), without.end(), target) == without.end())
            return std::move(target);
    }
    return {};
}

} // namespace mangofold::decision
