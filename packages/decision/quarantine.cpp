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

/// A request in doubt is tried once no target has ended for this long, or what
/// ends them would end its target too: that is found while this one is held. By
/// then all entries know of each end, too.
constexpr duration quiet_time = std::chrono::milliseconds(500);

/// How long such quiet is waited for.
constexpr duration longest_unquiet_time = std::chrono::milliseconds(500);

/// How long the entry that says first that it wants to try a request is waited
/// for, and how much sooner it must say so to be first at all entries.
constexpr duration claim_time = std::chrono::seconds(3);
constexpr duration clearly_sooner = std::chrono::milliseconds(100);

/// How long the outcome of a trial is waited for before another one begins.
constexpr duration trial_time = std::chrono::seconds(3);

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

bool is_own_turn(duration since, const seat& own)
{
    const auto number = static_cast<std::size_t>(since / turn);
    return number % own.of == own.place && since % turn < turn / 2;
}

/// Returns the claim that goes before the others, or null. Of two made at about
/// one time, entries see either one first; their names decide.
const target_ends::claim* leading(const std::vector<target_ends::claim>& claims,
                                  instant now)
{
    const target_ends::claim* first = nullptr;
    for (const target_ends::claim& one : claims)
    {
        if (now >= one.at + claim_time)
            continue;
        const bool is_close =
            first != nullptr && one.at < first->at + clearly_sooner;
        if (first == nullptr || (is_close && one.by < first->by))
            first = &one;
    }
    return first;
}

} // namespace

std::set<target_incarnation>
kept_for_others(const seat& own, std::vector<target_incarnation> targets)
{
    std::sort(targets.begin(), targets.end());
    std::set<target_incarnation> kept;
    for (std::size_t at = 0; at < targets.size(); ++at)
        if (at % own.of != own.place)
            kept.insert(targets[at]);
    return kept;
}

// Told to the other entries like an end, and forgotten with them.
void quarantine::note_waiting(const digest& content, instant now)
{
    if (leading(m_ends.against(content).claims, now) != nullptr)
        return;
    const auto number =
        static_cast<std::uint64_t>(now.time_since_epoch().count());
    m_ends.note({content, {m_own, number}, now, now, false, true}, now);
}

void quarantine::note_tried(const digest& content, instant now)
{
    m_tried[content] = now;
}

bool quarantine::is_tried(const digest& content,
                          const target_ends::finding& found, instant now) const
{
    const auto tried = m_tried.find(content);
    return m_in_progress.contains(content) ||
           (tried != m_tried.end() && tried->second > found.last &&
            now < tried->second + trial_time);
}

// All entries count the same ones, so that requests tried at once, at different
// entries, go to different targets.
seat quarantine::place_in_trial(const digest& content, instant now) const
{
    auto tried = m_ends.claimed_since(now - claim_time);
    std::erase_if(
        tried, [&](const digest& one)
        { return leading(m_ends.against(one).claims, now) == nullptr; });
    const auto own = std::lower_bound(tried.begin(), tried.end(), content);
    return {static_cast<std::size_t>(own - tried.begin()),
            std::max<std::size_t>(1, tried.size())};
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
    std::erase_if(m_tried, [now](const auto& one)
                  { return now >= one.second + trial_time; });
}

quarantine::verdict
quarantine::judge(const digest& content, instant now,
                  const std::function<seat()>& own_seat) const
{
    if (m_ends.is_empty() || was_served_lately(content, now))
        return {};
    const target_ends::finding found = m_ends.against(content);
    verdict made{admission::open, found.ends(), {}};
    if (found.ends() + 1 < most_ends)
        return made;
    made.how = admission::apart;
    if (found.ends() < most_ends)
        return made;
    if (is_doubtful(found))
        return judge_doubtful(content, found, now);
    // What others saw at these targets is known by then.
    if (now < found.occasions[most_ends - 1].ended + quiet_time &&
        own_seat().of > 1)
    {
        made.how = admission::held;
        return made;
    }
    const instant until = found.last + time_after(found.ends());
    made.how = admission::refused;
    made.back_after = now < until ? until - now : turn;
    if (now >= until && !is_tried(content, found, now) &&
        is_own_turn(now - until, own_seat()))
        made.how = admission::trial;
    return made;
}

bool quarantine::is_doubtful(const target_ends::finding& found) const
{
    const instant known_at = found.occasions[most_ends - 1].ended + quiet_time;
    const auto failed_trials = static_cast<std::size_t>(
        std::count_if(found.occasions.begin(), found.occasions.end(),
                      [known_at](const target_ends::occasion& one)
                      { return one.began >= known_at; }));
    return found.ends() - found.shared() < most_ends &&
           failed_trials < most_failed_trials;
}

// Two requests that end targets by turns reach three ends each after what many
// callers ask for, which is at all of these targets. Refused for its company, a
// harmless request that had never been served was kept from a service for a
// minute. Only a run of its own tells, and whoever asks meanwhile is answered
// by what it shows.
quarantine::verdict
quarantine::judge_doubtful(const digest& content,
                           const target_ends::finding& found, instant now) const
{
    verdict made{admission::held, found.ends(), trial_time};
    const target_ends::claim* first = leading(found.claims, now);
    if (first == nullptr || first->by != m_own)
        return made;
    const instant quiet_from = std::clamp(m_ends.newest(), found.last,
                                          found.last + longest_unquiet_time) +
                               quiet_time;
    if (now >= std::max(quiet_from, first->at + quiet_time) &&
        !is_tried(content, found, now))
        made.how = admission::trial;
    return made;
}

void quarantine::note_begun(const digest& content,
                            const target_incarnation& target)
{
    m_in_progress[content].insert(target);
}

void quarantine::note_over(const digest& content,
                           const target_incarnation& target)
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
std::set<target_incarnation> quarantine::occupied(const digest& content) const
{
    std::set<target_incarnation> found;
    for (const auto& [other, targets] : m_in_progress)
        if (other != content)
            found.insert(targets.begin(), targets.end());
    return found;
}

} // namespace mangofold::decision
