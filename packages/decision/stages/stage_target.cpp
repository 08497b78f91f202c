#include "decision/stages/stage_target.hpp"

namespace mangofold::decision
{

void stage_target::end_current_call(instant now, bool is_lost)
{
    free_at = call_ahead == 0 ? now : now + time_of_call_ahead;
    if (is_lost)
        unstarted_call = call_ahead;
    call_ahead = 0;
}

void stage_target::drop_expired(instant now)
{
    for (auto entry = stored.begin(); entry != stored.end();)
    {
        if (entry->second.expires_at > now)
        {
            ++entry;
            continue;
        }
        stored_bytes -= entry->second.bytes;
        entry = stored.erase(entry);
    }
}

void stage_target::store(const std::string& handle, std::uint64_t bytes,
                         instant expires_at)
{
    if (stored.try_emplace(handle, stored_result{bytes, expires_at}).second)
        stored_bytes += bytes;
}

void stage_target::release(const std::string& handle)
{
    const auto found = stored.find(handle);
    if (found == stored.end())
        return;
    stored_bytes -= found->second.bytes;
    stored.erase(found);
}

} // namespace mangofold::decision
