#include "decision/selection_policy.hpp"

#include <limits>
#include <vector>

namespace mangofold::decision
{

std::size_t
least_expected_of_few::select(std::span<const target_view* const> targets,
                              const std::string& zone, work_class work,
                              random_source& random) const
{
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    for (std::size_t index = 0; index < targets.size(); ++index)
        (targets[index]->zone == zone ? near : far).push_back(index);

    std::size_t best = 0;
    double best_ns = std::numeric_limits<double>::infinity();
    const auto consider =
        [&](const std::vector<std::size_t>& group, double way_ns)
    {
        constexpr int samples = 2;
        for (int sample = 0; sample < samples && !group.empty(); ++sample)
        {
            const std::size_t index = group[random.below(group.size())];
            const double cost_ns = targets[index]->expected_ns(work) + way_ns;
            if (cost_ns < best_ns)
            {
                best = index;
                best_ns = cost_ns;
            }
        }
    };
    consider(near, 0);
    consider(far, static_cast<double>(m_way_to_other_zone.count()));
    return best;
}

} // namespace mangofold::decision
