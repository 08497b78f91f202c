#include "decision/declared_slots.hpp"

#include <algorithm>
#include <limits>

namespace mangofold::decision
{

// Anyone who writes to the list declares what they like, and requests in
// progress hardly count against a target with very many slots. The median holds
// as long as most targets of the service declare what they have.
std::uint32_t
max_counted_slots(const std::vector<const listed_target*>& targets)
{
    constexpr std::uint64_t max_ratio = 2;
    std::vector<std::uint32_t> declared;
    declared.reserve(targets.size());
    for (const listed_target* target : targets)
        declared.push_back(std::max<std::uint32_t>(target->slots, 1));
    if (declared.empty())
        return max_ratio;
    const auto middle = declared.begin() +
                        static_cast<std::ptrdiff_t>((declared.size() - 1) / 2);
    std::nth_element(declared.begin(), middle, declared.end());
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(
        max_ratio * *middle, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace mangofold::decision
