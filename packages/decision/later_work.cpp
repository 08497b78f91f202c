#include "decision/later_work.hpp"

#include <algorithm>

namespace mangofold::decision
{

void later_work::note_wait(const std::string& service, duration wait,
                           duration call, instant now)
{
    line& one = m_lines[service];
    one.wait = wait;
    one.call = call;
    one.said_at = now;
}

void later_work::note_begun(const std::string& service, std::uint32_t pieces,
                            duration per_piece, instant now,
                            duration arrives_in)
{
    line& one = m_lines[service];
    std::erase_if(one.coming,
                  [now](const begun& work) { return work.arrives <= now; });
    one.coming.push_back({now + arrives_in, per_piece * pieces});
}

duration later_work::call_at(const std::string& service, duration usual) const
{
    const auto found = m_lines.find(service);
    return found == m_lines.end() || found->second.call == duration::zero()
               ? usual
               : found->second.call;
}

duration later_work::wait_at(const std::string& service, instant now,
                             duration arrives_in) const
{
    const auto found = m_lines.find(service);
    if (found == m_lines.end())
        return duration::zero();
    const line& one = found->second;
    duration wait = one.wait - (now - one.said_at) - arrives_in;
    for (const begun& work : one.coming)
        if (work.arrives > now && work.arrives <= now + arrives_in)
            wait += work.time;
    return std::max(wait, duration::zero());
}

} // namespace mangofold::decision
