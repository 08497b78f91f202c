#include "decision/resting_targets.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// The longest rest that is granted; a target that is not back by then gets a
/// request, to which it can ask for more.
constexpr duration max_rest = std::chrono::minutes(10);

} // namespace

// A later request for a shorter rest does not end a longer one: responses
// overtake each other.
bool resting_targets::note_rest(const target_incarnation& target, duration rest,
                                instant now)
{
    if (rest <= duration::zero())
        return false;
    const bool was_resting = rests_until(target, now) > now;
    instant& until = m_rests_until[target];
    until = std::max(until, now + std::min(rest, max_rest));
    return !was_resting;
}

instant resting_targets::rests_until(const target_incarnation& target,
                                     instant now) const
{
    const auto found = m_rests_until.find(target);
    return found == m_rests_until.end() ? now : std::max(now, found->second);
}

void resting_targets::expire(instant now)
{
    std::erase_if(m_rests_until,
                  [now](const auto& rest) { return rest.second <= now; });
}

} // namespace mangofold::decision
