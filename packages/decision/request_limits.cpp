#include "decision/request_limits.hpp"

namespace mangofold::decision
{

// Responses overtake each other. A response without a limit ends a limit only
// if its request was sent after the limit was stated: an earlier one may have
// been generated before the target became overloaded.
bool request_limits::note_response(const target_incarnation& target,
                                   std::optional<double> per_second,
                                   instant sent_at, instant now)
{
    const auto found = m_targets.find(target);
    if (per_second)
    {
        const bool is_changed =
            found == m_targets.end() || found->second.per_second != *per_second;
        m_targets[target] = {*per_second, now};
        return is_changed;
    }
    if (found == m_targets.end() || sent_at <= found->second.stated_at)
        return false;
    m_targets.erase(found);
    return true;
}

std::optional<double>
request_limits::limit_of(const target_incarnation& target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? std::nullopt
                                    : std::optional(found->second.per_second);
}

void request_limits::retain(const target_directory& targets)
{
    std::erase_if(m_targets, [&targets](const auto& limit)
                  { return targets.find(limit.first) == nullptr; });
}

} // namespace mangofold::decision
