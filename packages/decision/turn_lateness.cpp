#include "decision/turn_lateness.hpp"

#include <algorithm>

namespace mangofold::decision
{

void turn_lateness::note_turn(instant now)
{
    std::copy_backward(m_turns.begin(), m_turns.end() - 1, m_turns.end());
    m_turns.front() = now;
    m_known = std::min(m_known + 1, turns);
}

duration turn_lateness::late(instant now) const
{
    duration sum{};
    instant later = now;
    for (std::size_t one = 0; one < m_known; ++one)
    {
        sum += std::max(later - m_turns[one] - m_interval, duration::zero());
        later = m_turns[one];
    }
    return sum;
}

} // namespace mangofold::decision
