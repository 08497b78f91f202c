#include "decision/drain.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// The part of the grace period that is reserved for the exit of the process.
constexpr duration exit_reserve = std::chrono::milliseconds(300);

/// The part of the remaining time in which a stopping process sends the answers
/// of requests that no target has.
constexpr duration last_answers_time = std::chrono::milliseconds(200);

/// A load balancer that sends no readiness checks is assumed to have noticed
/// the shutdown after this time: one that watches connections or the list of
/// instances notices within two seconds.
constexpr duration max_removal_delay = std::chrono::milliseconds(2500);

/// Requests that the load balancer sent just before it noticed the shutdown
/// arrive within this time.
constexpr duration in_transit_delay = std::chrono::milliseconds(200);

/// A request shorter than this is accepted: it delays the exit by less than a
/// refusal and a retry at another entry would cost the caller.
constexpr duration max_short_request = std::chrono::milliseconds(300);

} // namespace

drain::drain(instant started_at, duration grace, int required_replies)
    : m_started_at(started_at), m_grace(grace), m_replies_left(required_replies)
{
}

void drain::note_unready_reply(instant now)
{
    if (m_replies_left > 0 && --m_replies_left == 0)
        m_last_reply_at = now;
}

instant drain::out_of_rotation_at() const
{
    const instant latest = m_started_at + max_removal_delay;
    return m_replies_left > 0
               ? latest
               : std::min(latest, m_last_reply_at + in_transit_delay);
}

bool drain::is_out_of_rotation(instant now) const
{
    return now >= out_of_rotation_at();
}

instant drain::request_deadline() const
{
    return m_started_at + m_grace - exit_reserve;
}

instant drain::last_answers_at() const
{
    return request_deadline() - last_answers_time;
}

// A caller that is refused before the load balancer has noticed may be sent to
// this process again. One that returns has no try left, so it is accepted.
// While half of the fleet takes everything, the other half leaves it long
// requests from the start, so that it is back before that half ends. After
// that, a request is accepted only if it can't outlast the process: expected
// durations leave out the requests that still run, the longest ones. A long
// request delays the exit and so the restart of this instance; other entries
// take it if enough of them run.
bool drain::accepts(instant now, const request_duration& time,
                    other_entries others, bool is_returning) const
{
    const bool is_short = time.typical <= max_short_request;
    if (others == other_entries::later_half && !is_short && !is_returning)
        return false;
    if (!is_out_of_rotation(now))
        return true;
    const bool ends_in_time = now + time.bound <= last_answers_at();
    const bool is_finished =
        ends_in_time && (is_short || others == other_entries::few);
    if (others == other_entries::most)
        return is_finished;
    return is_finished || now < m_started_at + max_removal_delay;
}

void drain::note_last_answers(instant now)
{
    if (!m_last_answers_began_at)
        m_last_answers_began_at = now;
}

// After a late turn of the event loop, the last answers begin when the process
// must end. They are sent in the turns after that.
bool drain::may_exit(instant now, bool is_idle) const
{
    return (now >= request_deadline() && m_last_answers_began_at != now) ||
           (is_idle && is_out_of_rotation(now));
}

} // namespace mangofold::decision
