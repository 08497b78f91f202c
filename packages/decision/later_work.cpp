#include "decision/later_work.hpp"

#include <algorithm>

namespace mangofold::decision
{

void later_work::note_wait(const std::string& service, const service_wait& said,
                           instant now)
{
    line& one = m_lines[service];
    one.said = said;
    one.said_at = now;
}

void later_work::note_begun(const later_pieces& work, duration per_piece,
                            instant now, duration arrives_in, bool is_late)
{
    line& one = m_lines[work.service];
    std::erase_if(one.coming,
                  [now](const begun& other) { return other.arrives <= now; });
    one.coming.push_back({now + arrives_in, per_piece * work.pieces, is_late});
}

duration later_work::call_at(const std::string& service, duration usual) const
{
    const auto found = m_lines.find(service);
    return found == m_lines.end() || found->second.said.call == duration::zero()
               ? usual
               : found->second.said.call;
}

duration later_work::wait_at(const std::string& service, instant now,
                             duration arrives_in, bool is_late) const
{
    const auto found = m_lines.find(service);
    if (found == m_lines.end())
        return duration::zero();
    const line& one = found->second;
    const duration said = is_late ? one.said.all : one.said.in_time;
    duration wait = said - (now - one.said_at) - arrives_in;
    for (const begun& work : one.coming)
        if ((is_late || !work.is_late) && work.arrives > now &&
            work.arrives <= now + arrives_in)
            wait += work.time;
    return std::max(wait, duration::zero());
}

} // namespace mangofold::decision
