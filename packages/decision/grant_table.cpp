#include "decision/grant_table.hpp"

#include <algorithm>

namespace mangofold::decision
{

grant_ref grant_table::issue(link_id link, instant now)
{
    auto& grants = m_issued[link];
    while (!grants.empty() && grants.front().expires <= now)
        grants.pop_front();
    const std::uint64_t serial = m_next_serial++;
    grants.push_back({serial, now + m_lifetime});
    return {m_incarnation, serial};
}

// Without this check, a submission that its entry abandoned and that waited in
// a socket buffer while this process or the entry was paused would start after
// the caller was told that nothing ran. Expiry is set and compared on the same
// clock, so clocks need not be synchronized.
bool grant_table::is_valid(link_id link, const grant_ref& grant,
                           instant now) const
{
    if (grant.incarnation != m_incarnation)
        return false;
    const auto found = m_issued.find(link);
    if (found == m_issued.end())
        return false;
    const auto& grants = found->second;
    return std::any_of(grants.begin(), grants.end(),
                       [&](const issued_grant& candidate) {
                           return candidate.serial == grant.serial &&
                                  now < candidate.expires;
                       });
}

} // namespace mangofold::decision
