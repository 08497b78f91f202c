#include "decision/concurrency_limit.hpp"

namespace mangofold::decision
{

namespace
{

constexpr double average_weight = 0.1;
// Service times vary, so only a clear rise over the baseline counts.
constexpr double max_latency_ratio = 3.0;
constexpr double baseline_drift = 1.002;
constexpr double shrink_factor = 0.95;
constexpr double min_slot_share = 0.25;

} // namespace

void adaptive_limit::set_slots(std::size_t slots)
{
    if (slots == m_slots)
        return;
    m_slots = slots;
    m_limit = static_cast<double>(slots);
}

void adaptive_limit::run_ended(duration latency, std::size_t running,
                               bool has_succeeded)
{
    const auto measured = static_cast<double>(latency.count());
    if (m_average_ns == 0)
    {
        m_average_ns = measured;
        m_baseline_ns = measured;
    }
    m_average_ns += average_weight * (measured - m_average_ns);
    m_baseline_ns = std::min(m_baseline_ns * baseline_drift, m_average_ns);

    const auto slots = static_cast<double>(m_slots);
    if (!has_succeeded || m_average_ns > max_latency_ratio * m_baseline_ns)
    {
        m_limit = std::max(m_limit * shrink_factor, slots * min_slot_share);
        return;
    }
    if (static_cast<double>(running) + 1 >= m_limit)
        m_limit = std::min(m_limit + 1 / m_limit, slots);
}

} // namespace mangofold::decision
