#include "decision/quarantine.hpp"

#include <algorithm>
#include <array>

namespace mangofold::decision
{

namespace
{

/// The time from the last crash of a part to the next trial, by the number of
/// late sends before it. A trial can cost a target, and everything that runs on
/// it, some seconds, and the few that are allowed must last for a week. The
/// first one comes early, for parts that crashed no target.
constexpr std::array<duration, quarantine::max_late_sends> trial_delays{
    std::chrono::minutes(1), std::chrono::hours(1), std::chrono::hours(3 * 24)};

/// The same if targets of another software version serve. It covers the time
/// in which entries learn of targets, so that the trial finds one.
constexpr duration new_version_delay = std::chrono::seconds(10);

/// The number of crashes of a part before sends count as late, and the time
/// that those which are on their way then may take.
constexpr std::size_t counted_crashes = 5;
constexpr duration on_the_way_time = std::chrono::seconds(1);

/// The number of trials that crash their targets after which a part is refused
/// although another part with several incidents was in progress at each.
constexpr std::size_t max_shared_failed_trials = 3;

/// Returns how many sends of the part reached a target after all entries must
/// have known its first crashes.
std::size_t late_sends(const crash_log::evidence& found)
{
    if (found.crashes.size() < counted_crashes)
        return 0;
    const instant known_at =
        found.crashes[counted_crashes - 1].crashed_at + on_the_way_time;
    return static_cast<std::size_t>(
        std::count_if(found.crashes.begin(), found.crashes.end(),
                      [known_at](const crash_log::incident& crash)
                      { return crash.started_at >= known_at; }));
}

// A trial that crashed while another part with more incidents was in progress
// says nothing of this one. Two parts that always come together have equally
// many.
bool lacks_failed_trials(const crash_log::evidence& found)
{
    const instant known_at =
        found.incidents[quarantine::max_incidents - 1].crashed_at +
        quarantine::quiet_time;
    std::size_t failed = 0;
    std::size_t shared = 0;
    for (const crash_log::incident& counted : found.incidents)
        if (counted.started_at >= known_at &&
            counted.other_incidents <= found.incident_count())
            ++(counted.is_shared() ? shared : failed);
    return failed < quarantine::max_failed_trials &&
           failed + shared < max_shared_failed_trials &&
           found.incident_count() - found.shared_incident_count() <
               counted_crashes;
}

/// Whether other parts, which no target has survived, are the likely cause of
/// all crashes of a part that targets have survived.
bool is_explained(const crash_log::evidence& found)
{
    return found.was_cleared &&
           found.shared_incident_count() == found.incident_count();
}

/// Whether only requests of one other client account crashed targets.
bool is_of_other_account(const crash_log::evidence& found, name_set account)
{
    return !account.is_empty() && found.accounts.min_size() == 1 &&
           !found.accounts.contains(account);
}

} // namespace

// A part that many requests share is in progress at most crashes, whatever
// their cause, and is cleared by the next of its requests that a target
// survives. So three incidents are not enough to refuse a part.
//
// Trials for a client account that crashed no target itself: otherwise an
// account could have a part refused for others by naming it in requests that
// crash targets for another reason.
quarantine::verdict quarantine::evaluate_part(
    const digest& part, name_set account, instant now,
    const std::function<name_set()>& serving_versions) const
{
    verdict result{admission::unrestricted, 0, {}, part, true};
    if (m_crashes.unrefuted_count(part) < max_incidents)
        return result;
    const crash_log::evidence found = m_crashes.evidence_against(part);
    result.incidents = found.incident_count();
    if (found.incident_count() < max_incidents || is_explained(found))
        return result;
    const std::size_t late = late_sends(found);
    const bool may_try = late < max_late_sends;
    if (may_try &&
        (lacks_failed_trials(found) || is_of_other_account(found, account)))
        return evaluate_part_in_doubt(part, found, now);
    const bool has_new_version = !found.versions.contains(serving_versions());
    const instant timed_trial_at =
        found.last_crash_at +
        (may_try ? trial_delays[late] : crash_log::part_lifetime);
    const instant until = may_try && has_new_version
                              ? found.last_crash_at + new_version_delay
                              : timed_trial_at;
    if (may_try && now >= until)
    {
        result = evaluate_part_in_doubt(part, found, now);
        if (now < timed_trial_at)
            result.excluded_versions = found.versions;
        return result;
    }
    result.outcome = admission::refused;
    result.retry_after = std::max(until - now, duration::zero());
    return result;
}

quarantine::part_state quarantine::state_of(const digest& part,
                                            instant now) const
{
    const verdict found =
        evaluate_part(part, {}, now, [] { return name_set(); });
    if (found.outcome == admission::refused)
        return part_state::refused;
    return found.outcome == admission::unrestricted ? part_state::clear
                                                    : part_state::suspected;
}

quarantine::verdict quarantine::evaluate_part_in_doubt(
    const digest& part, const crash_log::evidence& found, instant now) const
{
    verdict result = evaluate_in_doubt(part, found, now);
    result.is_part = true;
    return result;
}

// Of several parts in doubt, the rarest one decides. The request is then no
// trial of a part that most requests share, for which another one will do.
quarantine::verdict
quarantine::evaluate(const request_suspects& request, instant now,
                     const std::function<ordinal()>& own_ordinal,
                     const std::function<name_set()>& serving_versions) const
{
    const verdict whole = evaluate(request.content, now, own_ordinal);
    if (whole.outcome == admission::refused)
        return whole;
    const verdict* rarest = nullptr;
    verdict in_doubt;
    for (const digest& part : request.parts)
    {
        const verdict checked =
            evaluate_part(part, request.account, now, serving_versions);
        if (checked.outcome == admission::refused)
            return checked;
        const bool is_rarer =
            rarest == nullptr || checked.incidents < rarest->incidents;
        if (checked.outcome == admission::unrestricted || !is_rarer)
            continue;
        in_doubt = checked;
        rarest = &in_doubt;
    }
    return rarest == nullptr || whole.outcome == admission::held ? whole
                                                                 : in_doubt;
}

} // namespace mangofold::decision
