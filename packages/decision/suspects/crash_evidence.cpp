#include "decision/crash_log.hpp"

#include <algorithm>
#include <set>

namespace mangofold::decision
{

namespace
{

/// The number of incidents from which a request is a suspect; a single one may
/// be chance.
constexpr std::size_t suspect_incidents = 2;

/// Adds \a crash, which must not be older than those added before: to the
/// newest incident if the run started before the crash of that incident, or as
/// a new incident.
void add_to(std::vector<crash_log::incident>& incidents,
            const crash_log::incident& crash)
{
    if (incidents.empty() || crash.started_at >= incidents.back().crashed_at)
        incidents.push_back(crash);
    else
        incidents.back().other_incidents =
            std::min(incidents.back().other_incidents, crash.other_incidents);
}

} // namespace

std::vector<const target_crash*>
crash_log::unrefuted(const digest& content) const
{
    std::vector<const target_crash*> crashes;
    const auto found = m_by_content.find(content);
    if (found == m_by_content.end() || found->second.unrefuted == 0)
        return crashes;
    for (const auto& [target, change] : found->second.changes)
        if (const target_crash& crash = m_records.at(change); !crash.is_refuted)
            crashes.push_back(&crash);
    std::sort(crashes.begin(), crashes.end(),
              [](const target_crash* left, const target_crash* right)
              {
                  return std::pair(left->crashed_at, left->is_claim) <
                         std::pair(right->crashed_at, right->is_claim);
              });
    return crashes;
}

std::size_t crash_log::unrefuted_count(const digest& content) const
{
    const auto found = m_by_content.find(content);
    return found == m_by_content.end() ? 0 : found->second.unrefuted;
}

std::size_t crash_log::incident_count(const digest& content) const
{
    std::vector<incident> incidents;
    for (const target_crash* crash : unrefuted(content))
        if (!crash->is_claim)
            add_to(incidents, {crash->started_at, crash->crashed_at});
    return incidents.size();
}

// A part that a target has survived before explains no crash of one that none
// has survived: it is in most requests, and so in progress at most crashes.
std::size_t crash_log::other_incidents(const target_crash& crash) const
{
    const history& own = m_by_content.at(crash.content);
    std::size_t most = 0;
    for (const digest& other : m_by_target.at(crash.target).contents)
    {
        const history& known = m_by_content.at(other);
        const bool is_suspect =
            other != crash.content && known.is_part == own.is_part &&
            (!own.is_part || own.was_cleared || !known.was_cleared) &&
            known.unrefuted >= suspect_incidents &&
            !m_records.at(known.changes.at(crash.target)).is_refuted;
        if (is_suspect)
            most = std::max(most, incident_count(other));
    }
    return most >= suspect_incidents ? most : 0;
}

std::size_t crash_log::evidence::shared_incident_count() const
{
    return static_cast<std::size_t>(std::count_if(
        incidents.begin(), incidents.end(),
        [](const incident& counted) { return counted.is_shared(); }));
}

crash_log::evidence crash_log::evidence_against(const digest& content) const
{
    evidence found;
    const auto known = m_by_content.find(content);
    found.was_cleared =
        known != m_by_content.end() && known->second.was_cleared;
    for (const target_crash* crash : unrefuted(content))
    {
        if (crash->is_claim)
        {
            found.claims.push_back({crash->target.id, crash->crashed_at});
            continue;
        }
        found.crashes.push_back(
            {crash->started_at, crash->crashed_at, other_incidents(*crash)});
        add_to(found.incidents, found.crashes.back());
        found.accounts = found.accounts.joined(crash->accounts);
        found.versions = found.versions.joined(crash->versions);
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

std::vector<digest> crash_log::with_incidents(std::size_t count,
                                              bool is_part) const
{
    std::vector<digest> found;
    for (const auto& [content, known] : m_by_content)
        if (known.is_part == is_part && known.unrefuted >= count &&
            incident_count(content) >= count)
            found.push_back(content);
    return found;
}

std::size_t crash_log::contents_with_incidents(std::size_t count) const
{
    return with_incidents(count, false).size();
}

std::vector<digest> crash_log::parts_with_incidents(std::size_t count) const
{
    return with_incidents(count, true);
}

} // namespace mangofold::decision
