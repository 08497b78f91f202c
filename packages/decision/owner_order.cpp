#include "decision/owner_order.hpp"

#include <algorithm>
#include <utility>

namespace mangofold::decision
{

std::vector<std::string> owner_order(const digest& key,
                                     std::vector<std::string> targets)
{
    const std::string prefix =
        std::to_string(key.high) + "/" + std::to_string(key.low);
    std::vector<std::pair<digest, std::string>> ranked;
    ranked.reserve(targets.size());
    for (std::string& target : targets)
    {
        const digest rank = digest_of(prefix, target);
        ranked.emplace_back(rank, std::move(target));
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> order;
    order.reserve(ranked.size());
    for (auto& [rank, target] : ranked)
        order.push_back(std::move(target));
    return order;
}

} // namespace mangofold::decision
