#pragma once

#include "decision/random_source.hpp"
#include "decision/target_view.hpp"

#include <concepts>
#include <cstddef>
#include <span>
#include <string>

namespace mangofold::decision
{

/// Chooses one of several targets that may all take the work. Returns its
/// index.
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

/// Any target, with equal chances: the plain baseline.
struct random_selection
{
    std::size_t select(std::span<const target_view* const> targets,
                       const std::string&, work_class,
                       random_source& random) const
    {
        return random.below(targets.size());
    }
};

/// Two random targets of the own zone and two of the others; the one whose
/// expected time, with the way to its zone, is shortest.
class least_expected_of_few
{
public:
    explicit least_expected_of_few(
        duration way_to_other_zone = std::chrono::milliseconds(3))
        : m_way_to_other_zone(way_to_other_zone)
    {
    }

    std::size_t select(std::span<const target_view* const> targets,
                       const std::string& zone, work_class work,
                       random_source& random) const;

private:
    duration m_way_to_other_zone;
};

} // namespace mangofold::decision
