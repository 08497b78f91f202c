#include "decision/crash_log.hpp"

#include "decision/election.hpp"

#include <algorithm>
#include <set>

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

/// The resolution of run times: a run must be longer by this much for a record
/// to change and be replicated again.
constexpr duration run_time_step = std::chrono::milliseconds(1);

/// Bytes that a target sent before it crashed can be read after the crash was
/// noticed on another connection, if the event loop is behind. Only an answer
/// that arrives later than this shows that the target is alive.
constexpr duration late_read_tolerance = std::chrono::milliseconds(250);

/// An eviction removes one in this many records.
constexpr std::size_t eviction_divisor = 8;

/// The number of incidents from which a request is a suspect; a single one may
/// be chance.
constexpr std::size_t suspect_incidents = 2;

/// Adds \a crash, which must not be older than those added before: to the
/// newest incident if the run started before the crash of that incident, or as
/// a new incident.
void add_to(std::vector<crash_log::incident>& incidents,
            const target_crash& crash, bool is_shared)
{
    if (incidents.empty() || crash.started_at >= incidents.back().crashed_at)
        incidents.push_back({crash.started_at, crash.crashed_at, is_shared});
    else if (!is_shared)
        incidents.back().is_shared = false;
}

std::size_t incident_count(const std::vector<const target_crash*>& crashes)
{
    std::vector<crash_log::incident> incidents;
    for (const target_crash* crash : crashes)
        if (!crash->is_claim)
            add_to(incidents, *crash, true);
    return incidents.size();
}

/// Returns the run time of \a crash, limited to the maximum.
duration counted_run_time(const target_crash& crash)
{
    return std::min(crash.crashed_at - crash.started_at, max_run_time);
}

duration::rep run_steps(const target_crash& crash)
{
    return counted_run_time(crash) / run_time_step;
}

std::uint64_t record_hash(const target_crash& crash)
{
    return election_rank(to_text(crash.content) + crash.target.id,
                         std::to_string(crash.target.started_ms) + " " +
                             std::to_string(run_steps(crash)) +
                             (crash.is_refuted ? " refuted" : ""));
}

} // namespace

void crash_log::add(const target_crash& crash)
{
    m_records[++m_last_change] = crash;
    if (!crash.is_claim)
        m_newest_crash_at = std::max(m_newest_crash_at, crash.crashed_at);
    m_by_content[crash.content][crash.target] = m_last_change;
    m_by_target[crash.target].contents.insert(crash.content);
    m_summary += record_hash(crash);
}

void crash_log::remove(std::uint64_t change)
{
    const auto found = m_records.find(change);
    const target_crash crash = found->second;
    m_records.erase(found);
    m_summary -= record_hash(crash);
    changes_by_target& targets = m_by_content[crash.content];
    targets.erase(crash.target);
    if (targets.empty())
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
    remove(change);
    add(crash);
    m_by_target[crash.target].alive_at = alive_at;
}

// Several entries can lose copies of a request on the same target. All of them
// keep the run time of the copy that ran longest. Otherwise they would count
// different incidents, and some would send a request that others hold.
bool crash_log::merge(std::uint64_t change, const target_crash& other)
{
    target_crash merged = m_records.at(change);
    const bool is_longer = run_steps(other) > run_steps(merged);
    const bool is_refuted = merged.is_refuted || other.is_refuted;
    if (!is_longer && is_refuted == merged.is_refuted)
        return false;
    if (is_longer)
        merged.started_at = merged.crashed_at - counted_run_time(other);
    merged.is_refuted = is_refuted;
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
    if (now >= crash.crashed_at + lifetime)
        return false;
    const auto content = m_by_content.find(crash.content);
    if (content != m_by_content.end())
    {
        const auto known = content->second.find(crash.target);
        if (known != content->second.end())
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
// first, the oldest first, and all entries evict about the same records.
void crash_log::evict()
{
    std::vector<std::pair<std::pair<bool, instant>, std::uint64_t>> evicted;
    for (const auto& [change, crash] : m_records)
        evicted.push_back(
            {{m_by_content[crash.content].size() > 1, crash.crashed_at},
             change});
    std::sort(evicted.begin(), evicted.end());
    evicted.resize(max_size / eviction_divisor);
    for (const auto& [key, change] : evicted)
    {
        if (!key.first)
            m_newest_evicted_at = std::max(m_newest_evicted_at, key.second);
        remove(change);
    }
}

std::size_t crash_log::note_completed(const digest& content)
{
    const auto found = m_by_content.find(content);
    if (found == m_by_content.end())
        return 0;
    std::vector<std::uint64_t> changes;
    for (const auto& [target, change] : found->second)
        changes.push_back(change);
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
        const std::uint64_t change = m_by_content[content][target];
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
                               m_by_content.at(content).at(target));
                           return !crash.is_refuted &&
                                  crash.crashed_at < time &&
                                  crash.crashed_at >= known.alive_at;
                       });
}

std::vector<const target_crash*>
crash_log::unrefuted(const digest& content) const
{
    std::vector<const target_crash*> crashes;
    const auto found = m_by_content.find(content);
    if (found == m_by_content.end())
        return crashes;
    for (const auto& [target, change] : found->second)
        if (const target_crash& crash = m_records.at(change); !crash.is_refuted)
            crashes.push_back(&crash);
    std::sort(crashes.begin(), crashes.end(),
              [](const target_crash* left, const target_crash* right)
              { return left->crashed_at < right->crashed_at; });
    return crashes;
}

bool crash_log::is_shared(const target_crash& crash) const
{
    const auto& contents = m_by_target.at(crash.target).contents;
    return std::any_of(
        contents.begin(), contents.end(),
        [&](const digest& other)
        {
            const changes_by_target& targets = m_by_content.at(other);
            return other != crash.content &&
                   targets.size() >= suspect_incidents &&
                   !m_records.at(targets.at(crash.target)).is_refuted &&
                   incident_count(unrefuted(other)) >= suspect_incidents;
        });
}

std::size_t crash_log::evidence::shared_incident_count() const
{
    return static_cast<std::size_t>(std::count_if(
        incidents.begin(), incidents.end(),
        [](const incident& counted) { return counted.is_shared; }));
}

crash_log::evidence crash_log::evidence_against(const digest& content) const
{
    evidence found;
    for (const target_crash* crash : unrefuted(content))
    {
        if (crash->is_claim)
        {
            found.claims.push_back({crash->target.id, crash->crashed_at});
            continue;
        }
        add_to(found.incidents, *crash, is_shared(*crash));
        found.targets.push_back(crash->target);
        found.last_crash_at = crash->crashed_at;
        found.claims.clear();
    }
    return found;
}

std::vector<digest> crash_log::claimed_since(instant time) const
{
    std::set<digest> found;
    for (const auto& [change, crash] : m_records)
        if (crash.is_claim && !crash.is_refuted && crash.crashed_at > time)
            found.insert(crash.content);
    return {found.begin(), found.end()};
}

std::size_t crash_log::contents_with_incidents(std::size_t count) const
{
    return static_cast<std::size_t>(std::count_if(
        m_by_content.begin(), m_by_content.end(),
        [&](const auto& entry)
        {
            return entry.second.size() >= count &&
                   incident_count(unrefuted(entry.first)) >= count;
        }));
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
        if (now < record->second.crashed_at + lifetime - unreplicated_time)
            changes.push_back(record->second);
    }
    return changes;
}

void crash_log::expire(instant now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [change, crash] : m_records)
        if (now >= crash.crashed_at + lifetime)
            expired.push_back(change);
    for (const std::uint64_t change : expired)
        remove(change);
}

} // namespace mangofold::decision
