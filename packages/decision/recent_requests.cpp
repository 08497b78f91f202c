#include "decision/recent_requests.hpp"

#include <algorithm>

namespace mangofold::decision
{

void recent_requests::note(const digest& request, instant now, duration horizon)
{
    drop_old(now);
    if (!m_known.insert(request).second)
        return;
    m_by_age.push_back({request, now + horizon});
    if (m_by_age.size() <= m_most)
        return;
    m_unsure_until = std::max(m_unsure_until, m_by_age.front().until);
    m_known.erase(m_by_age.front().request);
    m_by_age.pop_front();
}

bool recent_requests::may_have_begun(const digest& request, instant now)
{
    drop_old(now);
    return now < m_unsure_until || m_known.contains(request);
}

void recent_requests::drop_old(instant now)
{
    while (!m_by_age.empty() && m_by_age.front().until <= now)
    {
        m_known.erase(m_by_age.front().request);
        m_by_age.pop_front();
    }
}

} // namespace mangofold::decision
