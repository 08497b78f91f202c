#pragma once

#include "decision/random_source.hpp"
#include "decision/target_view.hpp"

#include <concepts>
#include <cstddef>
#include <span>
#include <string>

namespace mangofold::decision
{

/// Chooses one of several eligible targets and returns its index.
template<typename Policy>
concept selection_policy = requires(const Policy& policy,
                                    std::span<const target_view* const> targets,
                                    const std::string& zone, work_class work,
                                    random_source& random)
{
    {
        policy.select(targets, zone, work, random)
        } -> std::convertible_to<std::size_t>;
};

/// Chooses a target uniformly at random, as a baseline for comparisons.
struct random_selection
{
    std::size_t select(std::span<const target_view* const> targets,
                       const std::string&, work_class,
                       random_source& random) const
    {
        return random.below(targets.size());
    }
};

/// Samples two random targets of the entry's own availability zone and two of
/// other zones ("power of two choices"), and chooses the one with the shortest
/// expected latency. Targets of other zones have a fixed cost added.
class two_choice_selection
{
public:
    explicit two_choice_selection(
        duration cross_zone_cost = std::chrono::milliseconds(3))
        : m_cross_zone_cost(cross_zone_cost)
    {
    }

    std::size_t select(std::span<const target_view* const> targets,
                       const std::string& zone, work_class work,
                       random_source& random) const;

private:
    duration m_cross_zone_cost;
};

} // namespace mangofold::decision
