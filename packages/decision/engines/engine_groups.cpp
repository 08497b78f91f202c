#include "decision/engines/engine_groups.hpp"

#include "decision/election.hpp"

namespace mangofold::decision
{

namespace
{

/// The largest number of engines that one entry schedules.
constexpr std::size_t max_engines = 128;

/// The mean number of engines of a group. Hashing distributes them unevenly;
/// the largest of some dozens of groups has about a quarter more than the mean.
constexpr std::size_t mean_engines = 96;

} // namespace

std::vector<std::string> engine_groups(const std::string& service,
                                       std::size_t engine_count)
{
    if (engine_count <= max_engines)
        return {service};
    std::vector<std::string> groups;
    const std::size_t count = (engine_count + mean_engines - 1) / mean_engines;
    for (std::size_t index = 0; index < count; ++index)
        groups.push_back(service + "#" + std::to_string(index));
    return groups;
}

const std::string& group_of_engine(const std::string& id,
                                   const std::vector<std::string>& groups)
{
    return groups.size() == 1 ? groups.front() : elected(id, groups);
}

const std::string& group_of_prompt(const std::vector<prompt_segment>& prompt,
                                   const std::vector<std::string>& groups)
{
    if (groups.size() == 1 || prompt.empty())
        return groups.front();
    const std::size_t shared = prompt.size() > 1 ? prompt.size() - 2 : 0;
    return elected(prompt[shared].id, groups);
}

} // namespace mangofold::decision
