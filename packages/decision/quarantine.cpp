#include "decision/quarantine.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// How long a request is refused after its third incident. The time doubles
/// with each further incident up to the maximum, since a trial can cost a
/// target, and everything that runs on it, some seconds.
constexpr duration initial_refusal_time = std::chrono::minutes(1);
constexpr duration max_refusal_time = std::chrono::minutes(10);

/// Entries run trials of a refused request in time slots of their own. A trial
/// may start in the first half of a slot. The second half leaves time for the
/// trial to end and for its outcome to reach the other entries; otherwise each
/// entry would lose a target to the request.
constexpr duration trial_slot_time = std::chrono::seconds(10);

/// How long a trial is put off for crashes of other requests.
constexpr duration max_quiet_delay = std::chrono::milliseconds(500);

/// How long a claim to a trial is valid, and by how much a claim must precede
/// another for all entries to see the same one as the first.
constexpr duration claim_time = std::chrono::seconds(3);
constexpr duration claim_order_margin = std::chrono::milliseconds(100);

/// How long the outcome of a trial is awaited before another trial may start.
constexpr duration trial_time = std::chrono::seconds(3);

/// For how long after a completed run no crash is held against a request. If
/// many callers send the same request, copies of it are in progress on each
/// target that crashes, whatever the cause.
constexpr duration trusted_time = std::chrono::seconds(10);

/// The maximum number of requests remembered as served, 50 bytes each.
constexpr std::size_t max_served_contents = 4096;

duration refusal_time(std::size_t incidents)
{
    duration time = initial_refusal_time;
    for (std::size_t count = quarantine::max_incidents;
         count < incidents && time < max_refusal_time; ++count)
        time *= 2;
    return std::min(time, max_refusal_time);
}

bool is_own_trial_slot(duration since, const ordinal& own)
{
    const auto slot = static_cast<std::size_t>(since / trial_slot_time);
    return slot % own.count == own.index &&
           since % trial_slot_time < trial_slot_time / 2;
}

/// Returns the valid claim that takes precedence, or null. Entries can receive
/// two claims of about the same time in either order, so the names of the
/// claiming entries decide between them.
const crash_log::claim*
leading_claim(const std::vector<crash_log::claim>& claims, instant now)
{
    const crash_log::claim* first = nullptr;
    for (const crash_log::claim& claim : claims)
    {
        if (now >= claim.claimed_at + claim_time)
            continue;
        const bool is_close =
            first != nullptr &&
            claim.claimed_at < first->claimed_at + claim_order_margin;
        if (first == nullptr || (is_close && claim.entry < first->entry))
            first = &claim;
    }
    return first;
}

} // namespace

const duration quarantine::quiet_time = std::chrono::milliseconds(500);

std::set<target_incarnation>
targets_reserved_for_others(const ordinal& own,
                            std::vector<target_incarnation> targets)
{
    std::sort(targets.begin(), targets.end());
    std::set<target_incarnation> reserved;
    for (std::size_t index = 0; index < targets.size(); ++index)
        if (index % own.count != own.index)
            reserved.insert(targets[index]);
    return reserved;
}

// A claim is replicated and expires like a crash record.
void quarantine::note_waiting(const digest& content, instant now, bool is_part)
{
    if (leading_claim(m_crashes.evidence_against(content).claims, now) !=
        nullptr)
        return;
    const auto claimed_at =
        static_cast<std::uint64_t>(now.time_since_epoch().count());
    m_crashes.note(
        {content, {m_own_name, claimed_at}, now, now, false, true, is_part},
        now);
}

void quarantine::note_trial(const digest& content, instant now)
{
    m_trial_started_at[content] = now;
}

bool quarantine::has_trial(const digest& content,
                           const crash_log::evidence& found, instant now) const
{
    const auto started = m_trial_started_at.find(content);
    return m_in_progress.contains(content) ||
           (started != m_trial_started_at.end() &&
            started->second > found.last_crash_at &&
            now < started->second + trial_time);
}

// All entries count the same contents, so that simultaneous trials of different
// requests on different entries use different targets.
ordinal quarantine::trial_ordinal(const digest& content, instant now) const
{
    auto claimed = m_crashes.claimed_since(now - claim_time);
    std::erase_if(claimed,
                  [&](const digest& other)
                  {
                      return leading_claim(
                                 m_crashes.evidence_against(other).claims,
                                 now) == nullptr;
                  });
    const auto own = std::lower_bound(claimed.begin(), claimed.end(), content);
    return {static_cast<std::size_t>(own - claimed.begin()),
            std::max<std::size_t>(1, claimed.size())};
}

bool quarantine::was_served_recently(const digest& content, instant now) const
{
    const auto found = m_served_at.find(content);
    return found != m_served_at.end() && now < found->second + trusted_time;
}

// A target process crashes only once. A request that was sent to the target
// after its crash, since the target list still held it, did not cause the
// crash.
bool quarantine::note_crash(const target_crash& crash, instant now)
{
    if (was_served_recently(crash.content, now) ||
        m_crashes.has_crashed(crash.target, crash.started_at))
        return false;
    return m_crashes.note(crash, now);
}

std::size_t quarantine::note_served(const digest& content, instant now)
{
    if (m_served_at.size() < max_served_contents ||
        m_served_at.contains(content))
        m_served_at[content] = now;
    return m_crashes.note_completed(content);
}

void quarantine::expire(instant now)
{
    m_crashes.expire(now);
    std::erase_if(m_served_at, [now](const auto& served)
                  { return now >= served.second + trusted_time; });
    std::erase_if(m_trial_started_at, [now](const auto& trial)
                  { return now >= trial.second + trial_time; });
}

quarantine::verdict
quarantine::evaluate(const digest& content, instant now,
                     const std::function<ordinal()>& own_ordinal) const
{
    if (m_crashes.is_empty() || was_served_recently(content, now))
        return {};
    const crash_log::evidence found = m_crashes.evidence_against(content);
    verdict result{
        admission::unrestricted, found.incident_count(), {}, content};
    if (found.incident_count() + 1 < max_incidents)
        return result;
    result.outcome = admission::isolated;
    if (found.incident_count() < max_incidents)
        return result;
    if (is_in_doubt(found))
        return evaluate_in_doubt(content, found, now);
    // By then the crashes that other entries saw on these targets are known.
    if (now < found.incidents[max_incidents - 1].crashed_at + quiet_time &&
        own_ordinal().count > 1)
    {
        result.outcome = admission::held;
        return result;
    }
    const instant until =
        found.last_crash_at + refusal_time(found.incident_count());
    result.outcome = admission::refused;
    result.retry_after = now < until ? until - now : trial_slot_time;
    if (now >= until && !has_trial(content, found, now) &&
        is_own_trial_slot(now - until, own_ordinal()))
        result.outcome = admission::trial;
    return result;
}

bool quarantine::is_in_doubt(const crash_log::evidence& found) const
{
    const instant known_at =
        found.incidents[max_incidents - 1].crashed_at + quiet_time;
    const auto failed_trials = static_cast<std::size_t>(
        std::count_if(found.incidents.begin(), found.incidents.end(),
                      [known_at](const crash_log::incident& counted)
                      { return counted.started_at >= known_at; }));
    return found.incident_count() - found.shared_incident_count() <
               max_incidents &&
           failed_trials < max_failed_trials;
}

// A request that many callers send is in progress on every target that crashes.
// If two other requests crash targets in turn, the popular request reaches
// three incidents before either of them. A harmless request that had never been
// served was refused by a whole service for a minute in this way. Only a run
// apart from the suspects can show whether it is harmless; resends that arrive
// meanwhile wait for the outcome of that run.
quarantine::verdict quarantine::evaluate_in_doubt(
    const digest& content, const crash_log::evidence& found, instant now) const
{
    verdict result{admission::held, found.incident_count(), trial_time,
                   content};
    const crash_log::claim* first = leading_claim(found.claims, now);
    if (first == nullptr || first->entry != m_own_name)
        return result;
    const instant quiet_from =
        std::clamp(m_crashes.newest_crash_at(), found.last_crash_at,
                   found.last_crash_at + max_quiet_delay) +
        quiet_time;
    if (now >= std::max(quiet_from, first->claimed_at + quiet_time) &&
        !has_trial(content, found, now))
        result.outcome = admission::trial;
    return result;
}

void quarantine::note_sent(const digest& content,
                           const target_incarnation& target)
{
    m_in_progress[content].insert(target);
}

void quarantine::note_finished(const digest& content,
                               const target_incarnation& target)
{
    const auto found = m_in_progress.find(content);
    if (found == m_in_progress.end())
        return;
    const auto run = found->second.find(target);
    if (run != found->second.end())
        found->second.erase(run);
    if (found->second.empty())
        m_in_progress.erase(found);
}

// If two suspected requests are in progress on a target that crashes, nothing
// shows which of them caused the crash. On separate targets, the next crash or
// the next completed run does.
std::set<target_incarnation>
quarantine::targets_of_others(const digest& content) const
{
    std::set<target_incarnation> found;
    for (const auto& [other, targets] : m_in_progress)
        if (other != content)
            found.insert(targets.begin(), targets.end());
    return found;
}

} // namespace mangofold::decision
