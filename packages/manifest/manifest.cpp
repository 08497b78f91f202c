#include "manifest/manifest.hpp"

#include <algorithm>

namespace mangofold::manifest
{

namespace
{

template<typename Item>
const Item* find_by_id(const std::vector<Item>& items, const std::string& id)
{
    const auto found =
        std::find_if(items.begin(), items.end(),
                     [&](const Item& item) { return item.id == id; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

bool pipeline::is_repeatable() const
{
    return std::all_of(stages.begin(), stages.end(),
                       [](const stage& step) { return step.is_repeatable; });
}

// A caller sends a request again within the resend horizon. The later request
// runs until its deadline, and its submission to a sidecar can wait in a
// buffer for the lifetime of the grant that it uses.
decision::duration document::start_horizon() const
{
    decision::duration max_deadline{};
    for (const pipeline& declared : pipelines)
    {
        if (!declared.is_repeatable())
            max_deadline = std::max(max_deadline, declared.deadline);
    }
    return resend_horizon + max_deadline + grant_lifetime;
}

// An evacuated target is handled exactly like one that is no longer declared,
// including its runs in progress and non-repeatable work.
void document::drop_evacuated_targets()
{
    for (pool& declared : pools)
        std::erase_if(
            declared.targets,
            [this](const target& candidate)
            {
                return std::find(evacuated_zones.begin(), evacuated_zones.end(),
                                 candidate.zone) != evacuated_zones.end();
            });
}

const pool* document::find_pool(const std::string& id) const
{
    return find_by_id(pools, id);
}

const pipeline* document::find_pipeline(const std::string& id) const
{
    return find_by_id(pipelines, id);
}

const account* document::find_account(const std::string& id) const
{
    return find_by_id(accounts, id);
}

} // namespace mangofold::manifest
