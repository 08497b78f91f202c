#include "decision/stage_target.hpp"

namespace mangofold::decision
{

void stage_target::drop_ended(instant now)
{
    for (auto one = kept.begin(); one != kept.end();)
    {
        if (one->second.ends > now)
        {
            ++one;
            continue;
        }
        kept_bytes -= one->second.bytes;
        one = kept.erase(one);
    }
}

void stage_target::keep(const std::string& handle, std::uint64_t bytes,
                        instant ends)
{
    if (kept.try_emplace(handle, kept_result{bytes, ends}).second)
        kept_bytes += bytes;
}

void stage_target::release(const std::string& handle)
{
    const auto found = kept.find(handle);
    if (found == kept.end())
        return;
    kept_bytes -= found->second.bytes;
    kept.erase(found);
}

} // namespace mangofold::decision
