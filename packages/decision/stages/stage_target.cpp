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

// What this entry does not know of are mostly results of entries that were
// lost: they expire within a lifetime.
void stage_target::note_full(std::uint64_t capacity, duration lifetime,
                             instant now)
{
    const std::uint64_t own = stored_bytes + reserved_bytes;
    others_bytes = capacity > own ? capacity - own : 0;
    others_known_at = now;
    if (others_expire_at <= now)
        others_expire_at = now + lifetime;
}

// Results of others were made at different times, so they expire one by one.
// The memory would stay unused until the last of them has expired if all
// counted until then.
std::uint64_t stage_target::used_bytes(instant now) const
{
    const double share =
        others_expire_at <= now
            ? 0
            : static_cast<double>((others_expire_at - now).count()) /
                  static_cast<double>(
                      (others_expire_at - others_known_at).count());
    return stored_bytes + reserved_bytes +
           static_cast<std::uint64_t>(share *
                                      static_cast<double>(others_bytes));
}

} // namespace mangofold::decision
