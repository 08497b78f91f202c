#include "decision/suspects/request_suspects.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// Parts of one prompt that are recorded with a crash, several times as many
/// as prompts have.
constexpr std::size_t max_parts = 32;

} // namespace

digest prompt_part_digest(std::string_view service, std::string_view id)
{
    return digest_of("part " + std::string(service), id);
}

std::vector<digest> shared_part_digests(std::string_view service,
                                        std::string_view account,
                                        const std::vector<std::string>& ids)
{
    std::vector<digest> parts;
    if (ids.size() > max_parts + 1)
    {
        parts.push_back(
            digest_of("long prompts " + std::string(service), account));
        return parts;
    }
    for (std::size_t index = 0; index + 1 < ids.size(); ++index)
        parts.push_back(prompt_part_digest(service, ids[index]));
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

} // namespace mangofold::decision
