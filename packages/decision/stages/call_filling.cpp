#include "decision/stages/call_filling.hpp"

#include <algorithm>
#include <iterator>

namespace mangofold::decision
{

namespace
{

/// Adds to \a chosen those of the jobs at \a positions that fit, in order.
/// Returns the space that is left.
std::size_t add_in_order(const std::vector<fillable_job>& jobs,
                         const std::vector<std::size_t>& positions,
                         std::size_t space, std::vector<std::size_t>& chosen)
{
    for (const std::size_t position : positions)
    {
        if (jobs[position].pieces > space)
            continue;
        space -= jobs[position].pieces;
        chosen.push_back(position);
    }
    return space;
}

/// Adds to \a chosen those of the jobs at \a positions that together leave the
/// least of \a space. Returns the space that is left.
std::size_t add_best(const std::vector<fillable_job>& jobs,
                     const std::vector<std::size_t>& positions,
                     std::size_t space, std::vector<std::size_t>& chosen)
{
    const std::size_t count = positions.size();
    // best[i][s]: the most pieces of the jobs from the i-th on that fit s.
    std::vector<std::vector<std::size_t>> best(
        count + 1, std::vector<std::size_t>(space + 1, 0));
    const auto with = [&](std::size_t index, std::size_t left)
    {
        const std::size_t pieces = jobs[positions[index]].pieces;
        return pieces > left ? 0 : pieces + best[index + 1][left - pieces];
    };
    for (std::size_t index = count; index-- > 0;)
        for (std::size_t left = 0; left <= space; ++left)
            best[index][left] =
                std::max(best[index + 1][left], with(index, left));
    for (std::size_t index = 0; index < count; ++index)
    {
        const std::size_t pieces = jobs[positions[index]].pieces;
        if (pieces > space || with(index, space) < best[index][space])
            continue;
        chosen.push_back(positions[index]);
        space -= pieces;
    }
    return space;
}

} // namespace

call_filling fill_call(const std::vector<fillable_job>& jobs, std::size_t space)
{
    // A job that is too large for any call is split over several.
    if (!jobs.empty() && jobs.front().pieces > space)
        return {{0}, {}};
    call_filling filling;
    std::vector<std::size_t> in_order;
    std::size_t space_in_order = space;
    const std::size_t end = std::min(jobs.size(), max_filling_jobs + 1);
    for (std::size_t first = 0; first < end;)
    {
        std::vector<std::size_t> group;
        std::vector<std::size_t> required;
        std::vector<std::size_t> optional;
        for (std::size_t at = first;
             at < end && jobs[at].group == jobs[first].group; ++at)
        {
            const bool is_required = at == 0 || jobs[at].was_passed_over;
            group.push_back(at);
            (is_required ? required : optional).push_back(at);
        }
        space_in_order = add_in_order(jobs, group, space_in_order, in_order);
        space = add_in_order(jobs, required, space, filling.chosen);
        space = add_best(jobs, optional, space, filling.chosen);
        first += group.size();
    }
    std::sort(filling.chosen.begin(), filling.chosen.end());
    std::set_difference(in_order.begin(), in_order.end(),
                        filling.chosen.begin(), filling.chosen.end(),
                        std::back_inserter(filling.passed_over));
    return filling;
}

} // namespace mangofold::decision
