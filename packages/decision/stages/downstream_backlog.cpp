#include "decision/stages/downstream_backlog.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// A report counts in full for this time and no longer at all after twice the
/// time. Reports arrive ten times a second, so a service whose reports are
/// older has lost the entry that plans its calls.
constexpr duration report_lifetime = std::chrono::milliseconds(500);

} // namespace

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
    std::erase_if(known.arriving, [&known, now](const started_work& other)
                  { return !is_unreported(known, other, now); });
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

// Work that has arrived since the last report is in none yet. Without reports
// for a while it is forgotten, like the reported wait.
bool downstream_backlog::is_unreported(const backlog& known,
                                       const started_work& work, instant now)
{
    return work.arrives > now || (work.arrives > known.reported_at &&
                                  work.arrives > now - report_lifetime);
}

// The service works off what it reported. An old report decays to "no wait":
// requests are started rather than held back for a wait that nobody confirms.
duration downstream_backlog::reported_wait(const backlog& known, instant now,
                                           bool is_late)
{
    const duration reported =
        is_late ? known.reported.late : known.reported.on_time;
    const duration age = now - known.reported_at;
    if (age <= report_lifetime || reported <= age)
        return reported - age;
    const double weight =
        std::clamp(2 - static_cast<double>(age.count()) /
                           static_cast<double>(report_lifetime.count()),
                   0.0, 1.0);
    return duration(static_cast<duration::rep>(
        weight * static_cast<double>((reported - age).count())));
}

duration downstream_backlog::work_ahead(const std::string& service, instant now,
                                        bool is_late) const
{
    const auto found = m_backlogs.find(service);
    if (found == m_backlogs.end())
        return duration::zero();
    duration work =
        std::max(reported_wait(found->second, now, is_late), duration::zero());
    for (const started_work& started : found->second.arriving)
        if ((is_late || !started.is_late) &&
            is_unreported(found->second, started, now))
            work += started.time;
    return work;
}

duration downstream_backlog::expected_wait(const std::string& service,
                                           instant now, duration arrives_in,
                                           bool is_late) const
{
    const auto found = m_backlogs.find(service);
    if (found == m_backlogs.end())
        return duration::zero();
    const backlog& known = found->second;
    duration wait = reported_wait(known, now, is_late) - arrives_in;
    for (const started_work& work : known.arriving)
        if ((is_late || !work.is_late) && is_unreported(known, work, now) &&
            work.arrives <= now + arrives_in)
            wait += work.time;
    return std::max(wait, duration::zero());
}

} // namespace mangofold::decision
