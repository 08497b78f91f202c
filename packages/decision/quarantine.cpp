#include "decision/quarantine.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// How long a request is kept from targets after its third end, doubled with
/// each further one: a trial costs a target, with all that runs there, some
/// seconds.
constexpr duration first_time = std::chrono::minutes(1);
constexpr duration longest_time = std::chrono::minutes(10);

/// Entries have their turns to try a request one after the other, each for the
/// first half of this time. The rest is for the trial to end and for the
/// others to hear of it, or each entry would lose a target to it.
constexpr duration turn = std::chrono::seconds(10);

/// How long it is remembered that a request went well. Where many callers ask
/// for one thing, copies of it are in progress at each target that ends,
/// whatever ended it.
constexpr duration trusted_time = std::chrono::seconds(10);

/// Requests remembered as gone well at most, 50 bytes each.
constexpr std::size_t most_trusted = 4096;

duration time_after(std::size_t ends)
{
    duration time = first_time;
    for (std::size_t one = quarantine::most_ends;
         one < ends && time < longest_time; ++one)
        time *= 2;
    return std::min(time, longest_time);
}

} // namespace

bool quarantine::is_own_turn(duration since, const seat& own) const
{
    const auto number = static_cast<std::size_t>(since / turn);
    return number % own.of == own.place && since % turn < turn / 2;
}

bool quarantine::was_served_lately(const digest& content, instant now) const
{
    const auto found = m_served.find(content);
    return found != m_served.end() && now < found->second + trusted_time;
}

// A target ends once. What is sent there later and lost, since the list still
// names it, did not end it.
bool quarantine::note_end(const target_end& one, instant now)
{
    if (was_served_lately(one.content, now) ||
        m_ends.has_ended(one.target, one.began))
        return false;
    return m_ends.note(one, now);
}

std::size_t quarantine::note_served(const digest& content, instant now)
{
    if (m_served.size() < most_trusted || m_served.contains(content))
        m_served[content] = now;
    return m_ends.note_survived(content);
}

void quarantine::expire(instant now)
{
    m_ends.expire(now);
    std::erase_if(m_served, [now](const auto& one)
                  { return now >= one.second + trusted_time; });
}

quarantine::verdict
quarantine::judge(const digest& content, instant now,
                  const std::function<seat()>& own_seat) const
{
    if (m_ends.is_empty() || was_served_lately(content, now))
        return {};
    const target_ends::finding found = m_ends.against(content);
    verdict made{admission::open, found.ends, {}};
    if (found.ends + 1 < most_ends)
        return made;
    made.how = admission::apart;
    if (found.ends < most_ends)
        return made;
    const instant until = found.last + time_after(found.ends);
    made.how = admission::refused;
    made.back_after = now < until ? until - now : turn;
    if (now >= until && !m_in_progress.contains(content) &&
        is_own_turn(now - until, own_seat()))
        made.how = admission::trial;
    return made;
}

void quarantine::note_begun(const digest& content, const target_start& target)
{
    m_in_progress[content].insert(target);
}

void quarantine::note_over(const digest& content, const target_start& target)
{
    const auto found = m_in_progress.find(content);
    if (found == m_in_progress.end())
        return;
    const auto one = found->second.find(target);
    if (one != found->second.end())
        found->second.erase(one);
    if (found->second.empty())
        m_in_progress.erase(found);
}

// Of two requests that were there when a target ended, the one that ended it
// cannot be told. Kept apart, each is known by what happens next.
std::set<target_start> quarantine::occupied(const digest& content) const
{
    std::set<target_start> found;
    for (const auto& [other, targets] : m_in_progress)
        if (other != content)
            found.insert(targets.begin(), targets.end());
    return found;
}

} // namespace mangofold::decision
