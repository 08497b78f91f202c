#include "decision/ticket_issuer.hpp"

namespace mangofold::decision
{

namespace
{

constexpr duration issue_time_interval = std::chrono::seconds(1);
constexpr std::size_t max_issue_times = 3600;

} // namespace

std::uint64_t ticket_issuer::issue(instant now)
{
    if (m_issue_times.empty() ||
        m_issue_times.back().at + issue_time_interval <= now)
        m_issue_times.push_back({m_next_serial, now});
    if (m_issue_times.size() > max_issue_times)
        m_issue_times.pop_front();
    return m_next_serial++;
}

bool ticket_issuer::is_recent(std::uint64_t serial, instant now,
                              duration horizon) const
{
    if (serial >= m_next_serial)
        return false;
    for (auto issued = m_issue_times.rbegin(); issued != m_issue_times.rend();
         ++issued)
    {
        if (issued->first_serial <= serial)
            return now < issued->at + horizon;
    }
    return false;
}

} // namespace mangofold::decision
