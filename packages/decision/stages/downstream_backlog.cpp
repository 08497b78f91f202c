#include "decision/stages/downstream_backlog.hpp"

#include <algorithm>

namespace mangofold::decision
{

void downstream_backlog::note_wait_times(const std::string& service,
                                         const service_wait_times& reported,
                                         instant now)
{
    backlog& known = m_backlogs[service];
    known.reported = reported;
    known.reported_at = now;
}

void downstream_backlog::note_started(const downstream_pieces& work,
                                      duration per_piece, instant now,
                                      duration arrives_in, bool is_late)
{
    backlog& known = m_backlogs[work.service];
    std::erase_if(known.arriving, [now](const started_work& other)
                  { return other.arrives <= now; });
    known.arriving.push_back(
        {now + arrives_in, per_piece * work.pieces, is_late});
}

duration downstream_backlog::call_time(const std::string& service,
                                       duration default_time) const
{
    const auto found = m_backlogs.find(service);
    return found == m_backlogs.end() ||
                   found->second.reported.call_time == duration::zero()
               ? default_time
               : found->second.reported.call_time;
}

duration downstream_backlog::time_per_piece(const std::string& service,
                                            duration default_time) const
{
    const auto found = m_backlogs.find(service);
    return found == m_backlogs.end() ||
                   found->second.reported.time_per_piece <= duration::zero()
               ? default_time
               : found->second.reported.time_per_piece;
}

duration downstream_backlog::expected_wait(const std::string& service,
                                           instant now, duration arrives_in,
                                           bool is_late) const
{
    const auto found = m_backlogs.find(service);
    if (found == m_backlogs.end())
        return duration::zero();
    const backlog& known = found->second;
    const duration reported =
        is_late ? known.reported.late : known.reported.on_time;
    duration wait = reported - (now - known.reported_at) - arrives_in;
    for (const started_work& work : known.arriving)
        if ((is_late || !work.is_late) && work.arrives > now &&
            work.arrives <= now + arrives_in)
            wait += work.time;
    return std::max(wait, duration::zero());
}

} // namespace mangofold::decision
