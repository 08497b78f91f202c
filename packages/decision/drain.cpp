#include "decision/drain.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// How much of the grace is kept back for the end of the process itself.
constexpr duration end_margin = std::chrono::milliseconds(300);

/// A balancer that does not ask has noticed after this long: one that looks
/// at the connections or the list of instances does so within two seconds.
constexpr duration longest_notice = std::chrono::milliseconds(2500);

/// Callers that were sent here just before the balancer noticed are still on
/// their way for as long.
constexpr duration on_the_way = std::chrono::milliseconds(200);

/// A request that ends sooner than this hardly puts off the end of the
/// process: less than a caller loses that is sent elsewhere.
constexpr duration brief = std::chrono::milliseconds(300);

} // namespace

drain::drain(instant began, duration grace, int answers)
    : m_began(began), m_grace(grace), m_answers_left(answers)
{
}

void drain::note_unready_told(instant now)
{
    if (m_answers_left > 0 && --m_answers_left == 0)
        m_told_at = now;
}

instant drain::noticed_at() const
{
    const instant longest = m_began + longest_notice;
    return m_answers_left > 0 ? longest
                              : std::min(longest, m_told_at + on_the_way);
}

bool drain::is_noticed(instant now) const
{
    return now >= noticed_at();
}

instant drain::end() const
{
    return m_began + m_grace - end_margin;
}

// Callers that come before the balancer has noticed would be sent here again.
// After that a long request puts off the end, and so the time at which this
// instance serves again: others take it where there are enough. Where all
// entries stop, nobody would; what comes late must end before the process
// does, however long it takes.
bool drain::takes(instant now, const request_time& time,
                  bool is_outlasted) const
{
    if (!is_noticed(now))
        return true;
    if (is_outlasted)
        return time.usual <= brief && now + time.longest <= end();
    return now < m_began + longest_notice || now + time.longest <= end();
}

bool drain::may_end(instant now, bool is_idle) const
{
    return now >= end() || (is_idle && is_noticed(now));
}

} // namespace mangofold::decision
