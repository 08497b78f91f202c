#include "decision/ticket_issuer.hpp"

namespace mangofold::decision
{

namespace
{

constexpr duration mark_interval = std::chrono::seconds(1);
constexpr std::size_t max_marks = 3600;

} // namespace

std::uint64_t ticket_issuer::mint(instant now)
{
    if (m_marks.empty() || m_marks.back().at + mark_interval <= now)
        m_marks.push_back({m_next_serial, now});
    if (m_marks.size() > max_marks)
        m_marks.pop_front();
    return m_next_serial++;
}

bool ticket_issuer::is_recent(std::uint64_t serial, instant now,
                              duration horizon) const
{
    if (serial >= m_next_serial)
        return false;
    for (auto each = m_marks.rbegin(); each != m_marks.rend(); ++each)
    {
        if (each->first_serial <= serial)
            return now < each->at + horizon;
    }
    return false;
}

} // namespace mangofold::decision
