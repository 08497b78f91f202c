#include "decision/loop_lag.hpp"

#include <algorithm>

namespace mangofold::decision
{

void loop_lag::note_timer_run(instant now)
{
    std::copy_backward(m_turns.begin(), m_turns.end() - 1, m_turns.end());
    m_turns.front() = now;
    m_recorded = std::min(m_recorded + 1, counted_turns);
}

duration loop_lag::lag(instant now) const
{
    duration sum{};
    instant next_turn = now;
    for (std::size_t position = 0; position < m_recorded; ++position)
    {
        sum += std::max(next_turn - m_turns[position] - m_interval,
                        duration::zero());
        next_turn = m_turns[position];
    }
    return sum;
}

} // namespace mangofold::decision
