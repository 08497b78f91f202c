#include "decision/concurrency_limit.hpp"

namespace mangofold::decision
{

namespace
{

constexpr double average_share = 0.1;
// Work differs in length, so only a clear rise over the floor counts.
constexpr double tolerated_rise = 3.0;
constexpr double floor_drift = 1.002;
constexpr double shrink = 0.95;
constexpr double lowest_share_of_slots = 0.25;

} // namespace

void latency_limit::set_slots(std::size_t slots)
{
    if (slots == m_slots)
        return;
    m_slots = slots;
    m_limit = static_cast<double>(slots);
}

void latency_limit::run_ended(duration latency, std::size_t running,
                              bool is_good)
{
    const auto measured = static_cast<double>(latency.count());
    if (m_average_ns == 0)
    {
        m_average_ns = measured;
        m_floor_ns = measured;
    }
    m_average_ns += average_share * (measured - m_average_ns);
    m_floor_ns = std::min(m_floor_ns * floor_drift, m_average_ns);

    const auto slots = static_cast<double>(m_slots);
    if (!is_good || m_average_ns > tolerated_rise * m_floor_ns)
    {
        m_limit = std::max(m_limit * shrink, slots * lowest_share_of_slots);
        return;
    }
    if (static_cast<double>(running) + 1 >= m_limit)
        m_limit = std::min(m_limit + 1 / m_limit, slots);
}

} // namespace mangofold::decision
