#pragma once

#include "decision/time.hpp"

#include <algorithm>
#include <concepts>
#include <cstddef>

namespace mangofold::decision
{

/// Sets how many runs a target may have at once.
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

/// A constant limit: the published number of slots.
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

/// An adaptive limit of at most the published number of slots. A run that
/// fails, or that ends while the average latency is far above its baseline,
/// lowers the limit by a small factor. Successful runs raise it while it is
/// fully used, by about one for as many runs as the limit.
class adaptive_limit
{
public:
    explicit adaptive_limit(std::size_t slots)
        : m_slots(slots), m_limit(static_cast<double>(slots))
    {
    }

    std::size_t limit() const
    {
        return std::max<std::size_t>(1, static_cast<std::size_t>(m_limit));
    }

    void set_slots(std::size_t slots);
    void run_ended(duration latency, std::size_t running, bool has_succeeded);

private:
    std::size_t m_slots;
    double m_limit;
    double m_baseline_ns = 0; ///< Lowest average latency, slowly rising.
    double m_average_ns = 0;  ///< Moving average of the latency.
};

} // namespace mangofold::decision
