#include "decision/ticket_book.hpp"

namespace mangofold::decision
{

namespace
{

constexpr duration checkpoint_interval = std::chrono::seconds(1);
constexpr std::size_t max_checkpoints = 3600;

} // namespace

std::uint64_t ticket_book::mint(instant now)
{
    if (m_checkpoints.empty() ||
        m_checkpoints.back().at + checkpoint_interval <= now)
        m_checkpoints.push_back({m_next_serial, now});
    if (m_checkpoints.size() > max_checkpoints)
        m_checkpoints.pop_front();
    return m_next_serial++;
}

bool ticket_book::is_young(std::uint64_t serial, instant now,
                           duration horizon) const
{
    if (serial >= m_next_serial)
        return false;
    for (auto candidate = m_checkpoints.rbegin();
         candidate != m_checkpoints.rend(); ++candidate)
    {
        if (candidate->first_serial <= serial)
            return now < candidate->at + horizon;
    }
    return false;
}

} // namespace mangofold::decision
