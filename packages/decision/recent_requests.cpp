#include "decision/recent_requests.hpp"

#include <algorithm>

namespace mangofold::decision
{

void recent_requests::note(const digest& request, instant now, duration horizon)
{
    expire(now);
    if (!m_known.insert(request).second)
        return;
    m_by_age.push_back({request, now + horizon});
    if (m_by_age.size() <= m_max_size)
        return;
    m_incomplete_until =
        std::max(m_incomplete_until, m_by_age.front().expires_at);
    m_known.erase(m_by_age.front().request);
    m_by_age.pop_front();
}

bool recent_requests::may_have_started(const digest& request, instant now)
{
    expire(now);
    return now < m_incomplete_until || m_known.contains(request);
}

void recent_requests::expire(instant now)
{
    while (!m_by_age.empty() && m_by_age.front().expires_at <= now)
    {
        m_known.erase(m_by_age.front().request);
        m_by_age.pop_front();
    }
}

} // namespace mangofold::decision
