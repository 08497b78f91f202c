#include "decision/selection_policy.hpp"

#include <limits>
#include <vector>

namespace mangofold::decision
{

std::size_t
two_choice_selection::select(std::span<const target_view* const> targets,
                             const std::string& zone, work_class work,
                             random_source& random) const
{
    std::vector<std::size_t> same_zone;
    std::vector<std::size_t> other_zones;
    for (std::size_t index = 0; index < targets.size(); ++index)
        (targets[index]->zone == zone ? same_zone : other_zones)
            .push_back(index);

    std::size_t best = 0;
    double best_ns = std::numeric_limits<double>::infinity();
    const auto sample_group =
        [&](const std::vector<std::size_t>& candidates, double cross_zone_ns)
    {
        constexpr int samples_per_group = 2;
        for (int sample = 0; sample < samples_per_group && !candidates.empty();
             ++sample)
        {
            const std::size_t index =
                candidates[random.below(candidates.size())];
            const double cost_ns =
                targets[index]->expected_latency_ns(work) + cross_zone_ns;
            if (cost_ns < best_ns)
            {
                best = index;
                best_ns = cost_ns;
            }
        }
    };
    sample_group(same_zone, 0);
    sample_group(other_zones, static_cast<double>(m_cross_zone_cost.count()));
    return best;
}

} // namespace mangofold::decision
