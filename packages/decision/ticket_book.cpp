#include "decision/ticket_book.hpp"

namespace mangofold::decision
{

namespace
{

constexpr duration mark_interval = std::chrono::seconds(1);
constexpr std::size_t max_marks = 3600;

} // namespace

std::uint64_t ticket_book::mint(instant now)
{
    if (m_marks.empty() || m_marks.back().at + mark_interval <= now)
        m_marks.push_back({m_next_serial, now});
    if (m_marks.size() > max_marks)
        m_marks.pop_front();
    return m_next_serial++;
}

bool ticket_book::is_young(std::uint64_t serial, instant now,
                           duration horizon) const
{
    if (serial >= m_next_serial)
        return false;
    for (auto one = m_marks.rbegin(); one != m_marks.rend(); ++one)
    {
        if (one->first_serial <= serial)
            return now < one->at + horizon;
    }
    return false;
}

} // namespace mangofold::decision
