#pragma once

#include "decision/time.hpp"

#include <algorithm>
#include <concepts>
#include <cstddef>

namespace mangofold::decision
{

/// Says how many runs a target may have at once.
template<typename Policy>
concept concurrency_policy = requires(Policy policy, const Policy& view,
                                      duration latency, std::size_t running,
                                      std::size_t slots)
{
    {
        view.limit()
        } -> std::convertible_to<std::size_t>;
    policy.run_ended(latency, running, true);
    policy.set_slots(slots);
};

/// Keeps to the published number of slots.
class fixed_limit
{
public:
    explicit fixed_limit(std::size_t slots) : m_slots(slots) {}

    std::size_t limit() const { return m_slots; }
    void set_slots(std::size_t slots) { m_slots = slots; }
    void run_ended(duration, std::size_t, bool) {}

private:
    std::size_t m_slots;
};

/// Follows the measured latency below the published number of slots: it
/// shrinks while latency is far above the lowest seen, and grows by one for
/// each limit's worth of good runs.
class latency_limit
{
public:
    explicit latency_limit(std::size_t slots)
        : m_slots(slots), m_limit(static_cast<double>(slots))
    {
    }

    std::size_t limit() const
    {
        return std::max<std::size_t>(1, static_cast<std::size_t>(m_limit));
    }

    void set_slots(std::size_t slots);
    void run_ended(duration latency, std::size_t running, bool is_good);

private:
    std::size_t m_slots;
    double m_limit;
    double m_floor_ns = 0;   ///< Slowly rising lowest latency.
    double m_average_ns = 0; ///< Moving average of the latency.
};

} // namespace mangofold::decision
