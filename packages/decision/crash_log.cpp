#include "decision/crash_log.hpp"

#include "decision/election.hpp"

#include <algorithm>
#include <tuple>

namespace mangofold::decision
{

namespace
{

/// Records this close to the end of their lifetime are not replicated.
/// Otherwise entries that noticed a crash at different times would keep sending
/// the record back to those that have already expired it.
constexpr duration unreplicated_time = std::chrono::minutes(1);

/// A run counts as started this long before the crash at most. A request
/// that crashes its target does so soon after its execution begins; before
/// that, it was in the queue of its target. So targets that all crash at the
/// same time are one incident, however many copies of a request they ran,
/// while crashes further apart are several.
constexpr duration max_run_time = std::chrono::milliseconds(500);

/// The same for a part. Different requests with it overlap, and each shows
/// something new; only crashes at the same moment are one incident.
constexpr duration max_part_run_time = std::chrono::milliseconds(100);

/// The resolution of run times: a run must be longer by this much for a record
/// to change and be replicated again.
constexpr duration run_time_step = std::chrono::milliseconds(1);

/// Bytes that a target sent before it crashed can be read after the crash was
/// noticed on another connection, if the event loop is behind. Only an answer
/// that arrives later than this shows that the target is alive.
constexpr duration late_read_tolerance = std::chrono::milliseconds(250);

/// How long a claim to a trial is kept, many times as long as it is valid.
constexpr duration claim_lifetime = std::chrono::minutes(2);

/// An eviction removes one in this many records.
constexpr std::size_t eviction_divisor = 8;

/// Returns how long \a crash can be remembered, whatever else is known.
duration max_lifetime(const target_crash& crash)
{
    if (crash.is_claim)
        return claim_lifetime;
    return crash.is_part ? crash_log::part_lifetime : crash_log::lifetime;
}

/// Returns the run time of \a crash, limited to the maximum.
duration counted_run_time(const target_crash& crash)
{
    return std::min(crash.crashed_at - crash.started_at,
                    crash.is_part ? max_part_run_time : max_run_time);
}

duration::rep run_steps(const target_crash& crash)
{
    return counted_run_time(crash) / run_time_step;
}

/// Returns what record_hash() covers of a part. Entries of an earlier software
/// version compute the same hash for all other records.
std::string joined_names(const target_crash& crash)
{
    std::string names;
    if (crash.is_part)
        names.append(1, ' ')
            .append(std::to_string(crash.accounts.bits()))
            .append(1, ' ')
            .append(std::to_string(crash.versions.bits()));
    return names;
}

std::uint64_t record_hash(const target_crash& crash)
{
    return election_rank(to_text(crash.content) + crash.target.id,
                         std::to_string(crash.target.started_ms) + " " +
                             std::to_string(run_steps(crash)) +
                             (crash.is_refuted ? " refuted" : "") +
                             joined_names(crash));
}

} // namespace

void crash_log::add(const target_crash& crash)
{
    m_records[++m_last_change] = crash;
    if (!crash.is_claim)
        m_newest_crash_at = std::max(m_newest_crash_at, crash.crashed_at);
    history& known = m_by_content[crash.content];
    known.changes[crash.target] = m_last_change;
    known.is_part = crash.is_part;
    known.unrefuted += crash.is_refuted ? 0 : 1;
    known.was_cleared = known.was_cleared || crash.is_refuted;
    m_by_target[crash.target].contents.insert(crash.content);
    m_summary += record_hash(crash);
}

void crash_log::remove(std::uint64_t change)
{
    const auto found = m_records.find(change);
    const target_crash crash = found->second;
    m_records.erase(found);
    m_summary -= record_hash(crash);
    history& known = m_by_content[crash.content];
    known.changes.erase(crash.target);
    known.unrefuted -= crash.is_refuted ? 0 : 1;
    if (known.changes.empty())
        m_by_content.erase(crash.content);
    auto& contents = m_by_target[crash.target].contents;
    contents.erase(crash.content);
    if (contents.empty())
        m_by_target.erase(crash.target);
}

// Gets a new change number, so that the record is replicated again.
void crash_log::replace(std::uint64_t change, const target_crash& crash)
{
    const instant alive_at = m_by_target[crash.target].alive_at;
    const bool was_cleared = m_by_content[crash.content].was_cleared;
    remove(change);
    add(crash);
    m_by_target[crash.target].alive_at = alive_at;
    m_by_content[crash.content].was_cleared = was_cleared || crash.is_refuted;
}

// Several entries can lose copies of a request on the same target. All of them
// keep the run time of the copy that ran longest. Otherwise they would count
// different incidents, and some would send a request that others hold.
bool crash_log::merge(std::uint64_t change, const target_crash& other)
{
    target_crash merged = m_records.at(change);
    const bool is_longer = run_steps(other) > run_steps(merged);
    const bool is_refuted = merged.is_refuted || other.is_refuted;
    const bool has_new_names = !merged.accounts.contains(other.accounts) ||
                               !merged.versions.contains(other.versions);
    if (!is_longer && !has_new_names && is_refuted == merged.is_refuted)
        return false;
    if (is_longer)
        merged.started_at = merged.crashed_at - counted_run_time(other);
    merged.is_refuted = is_refuted;
    merged.accounts = merged.accounts.joined(other.accounts);
    merged.versions = merged.versions.joined(other.versions);
    replace(change, merged);
    return true;
}

bool crash_log::refute(std::uint64_t change)
{
    target_crash refuted = m_records.at(change);
    refuted.is_refuted = true;
    return merge(change, refuted);
}

bool crash_log::note(const target_crash& crash, instant now)
{
    if (now >= crash.crashed_at + max_lifetime(crash))
        return false;
    const auto content = m_by_content.find(crash.content);
    if (content != m_by_content.end())
    {
        const auto known = content->second.changes.find(crash.target);
        if (known != content->second.changes.end())
            return merge(known->second, crash);
    }
    // A record evicted before would evict a newer one if it were added again.
    else if (crash.crashed_at <= m_newest_evicted_at)
        return false;
    target_crash limited = crash;
    limited.started_at = crash.crashed_at - counted_run_time(crash);
    add(limited);
    if (m_records.size() > max_size)
        evict();
    return true;
}

// Requests with a single crash are many, and most of them were in progress
// by chance; those with several crashes must be kept. So the former are evicted
// first, the oldest first, and all entries evict about the same records. A part
// that most requests share has many crashes, but all of them refuted.
void crash_log::evict()
{
    enum class rank : std::uint8_t
    {
        trial_claim,
        single_crash,
        several_crashes
    };
    using key = std::tuple<rank, instant, std::uint64_t>;
    std::vector<key> evicted;
    for (const auto& [change, crash] : m_records)
        evicted.emplace_back(crash.is_claim ? rank::trial_claim
                             : m_by_content[crash.content].unrefuted > 1
                                 ? rank::several_crashes
                                 : rank::single_crash,
                             crash.crashed_at, change);
    std::sort(evicted.begin(), evicted.end());
    evicted.resize(max_size / eviction_divisor);
    for (const auto& [kind, crashed_at, change] : evicted)
    {
        if (kind == rank::single_crash)
            m_newest_evicted_at = std::max(m_newest_evicted_at, crashed_at);
        remove(change);
    }
}

std::size_t crash_log::note_completed(const digest& content,
                                      instant answered_at)
{
    const auto found = m_by_content.find(content);
    if (found == m_by_content.end() || found->second.unrefuted == 0)
        return 0;
    std::vector<std::uint64_t> changes;
    for (const auto& [target, change] : found->second.changes)
    {
        const target_crash& crash = m_records.at(change);
        if (!crash.is_refuted && crash.crashed_at <= answered_at)
            changes.push_back(change);
    }
    return static_cast<std::size_t>(
        std::count_if(changes.begin(), changes.end(),
                      [this](std::uint64_t change) { return refute(change); }));
}

std::size_t crash_log::note_alive(const target_incarnation& target,
                                  instant opened, instant now)
{
    const auto found = m_by_target.find(target);
    if (found == m_by_target.end())
        return 0;
    found->second.alive_at = now;
    std::vector<std::uint64_t> changes;
    for (const digest& content : found->second.contents)
    {
        const std::uint64_t change = m_by_content[content].changes[target];
        const instant crashed_at = m_records[change].crashed_at;
        if (opened < crashed_at && now >= crashed_at + late_read_tolerance)
            changes.push_back(change);
    }
    return static_cast<std::size_t>(
        std::count_if(changes.begin(), changes.end(),
                      [this](std::uint64_t change) { return refute(change); }));
}

bool crash_log::has_crashed(const target_incarnation& target,
                            instant time) const
{
    const auto found = m_by_target.find(target);
    if (found == m_by_target.end())
        return false;
    const suspects& known = found->second;
    return std::any_of(known.contents.begin(), known.contents.end(),
                       [&](const digest& content)
                       {
                           const target_crash& crash = m_records.at(
                               m_by_content.at(content).changes.at(target));
                           return !crash.is_refuted &&
                                  crash.crashed_at < time &&
                                  crash.crashed_at >= known.alive_at;
                       });
}

// Refuted records and those of a part with few incidents only serve to count
// incidents that are close together.
duration crash_log::lifetime_of(const target_crash& crash) const
{
    if (crash.is_claim)
        return claim_lifetime;
    if (!crash.is_part || crash.is_refuted ||
        unrefuted_count(crash.content) < many_incidents)
        return lifetime;
    return incident_count(crash.content) >= many_incidents ? part_lifetime
                                                           : lifetime;
}

std::vector<target_crash> crash_log::changes_after(std::uint64_t& last_change,
                                                   std::size_t max_count,
                                                   instant now) const
{
    std::vector<target_crash> changes;
    for (auto record = m_records.upper_bound(last_change);
         record != m_records.end() && changes.size() < max_count; ++record)
    {
        last_change = record->first;
        const target_crash& crash = record->second;
        if (now < crash.crashed_at + lifetime_of(crash) - unreplicated_time)
            changes.push_back(record->second);
    }
    return changes;
}

void crash_log::expire(instant now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [change, crash] : m_records)
        if (now >= crash.crashed_at + lifetime_of(crash))
            expired.push_back(change);
    for (const std::uint64_t change : expired)
        remove(change);
}

} // namespace mangofold::decision
