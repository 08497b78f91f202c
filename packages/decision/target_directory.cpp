#include "decision/target_directory.hpp"

#include "decision/election.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace mangofold::decision
{

namespace
{

/// Whether \a after describes the same as \a before: the list shows renewals
/// of an entry only if the entry had expired meanwhile.
bool is_written_again(const listed_target& before, const listed_target& after)
{
    return before.incarnation == after.incarnation &&
           before.service == after.service && before.address == after.address &&
           before.is_leaving == after.is_leaving;
}

} // namespace

bool target_directory::note(const listed_target& update)
{
    const auto known = m_records.find(update.incarnation.id);
    const bool is_repeated = known != m_records.end() &&
                             update.revision <= known->second.newest_revision;
    if (update.revision > m_full_list_revision || is_repeated)
        return apply(update);
    return apply_unlisted(update);
}

// Another entry, which cannot read the list, reports a target that the full
// list did not contain when this entry read it. Without this check, a target
// that is gone would get requests. Just after an outage of the source, the
// target's list entry may only have expired.
bool target_directory::apply_unlisted(const listed_target& update)
{
    record& known = m_records[update.incarnation.id];
    if (m_is_list_settled || update.is_leaving ||
        known.last_left == update.incarnation)
    {
        note_confirmed_removal(update.incarnation.id, m_full_list_revision);
        return false;
    }
    assign(known, update);
    known.is_removed = false;
    known.has_expired = true;
    known.has_lapsed = true;
    note_revision(known, m_full_list_revision);
    return true;
}

bool target_directory::apply(const listed_target& update)
{
    record& known = m_records[update.incarnation.id];
    if (update.revision <= known.newest_revision)
    {
        const bool is_completed = complete_version(known, update);
        const bool is_leaving =
            update.is_leaving && apply_leaving(known, update);
        return is_completed || is_leaving;
    }
    // An incarnation that was seen leaving never serves again, even if a stale
    // source lists it as serving with a newer revision; a new incarnation under
    // the same id does.
    if (update.is_leaving)
        known.last_left = update.incarnation;
    if (!m_is_list_settled && is_written_again(known.value, update))
        known.has_lapsed = true;
    assign(known, update);
    known.value.is_leaving = known.last_left == update.incarnation;
    known.is_removed = false;
    known.has_expired = false;
    note_revision(known, update.revision);
    return true;
}

// A version belongs to an incarnation, whose software does not change. If the
// list shows two versions for one, a target has restarted under its id without
// stating its start, or the entry comes from another writer.
void target_directory::assign(record& known, const listed_target& update)
{
    const bool is_same = !known.is_removed && !known.value.address.empty() &&
                         known.value.incarnation == update.incarnation;
    const std::string before = is_same ? known.value.version : std::string();
    const bool is_changed =
        !before.empty() && !update.version.empty() && before != update.version;
    known.has_ambiguous_version =
        is_changed || (is_same && known.has_ambiguous_version);
    known.value = update;
    if (known.has_ambiguous_version)
        known.value.version.clear();
    else if (update.version.empty())
        known.value.version = before;
    m_seen_versions.insert({update.service, known.value.version});
}

// An entry that does not know versions may have passed on the target before the
// list was read here.
bool target_directory::complete_version(record& known,
                                        const listed_target& update)
{
    if (!known.value.version.empty() || update.version.empty() ||
        known.has_ambiguous_version ||
        known.value.incarnation != update.incarnation)
        return false;
    known.value.version = update.version;
    m_seen_versions.insert({update.service, update.version});
    ++m_change_count;
    return true;
}

// Leaving is final, so an older update that says so still counts if the newer
// one says otherwise: that one comes from a late writer or an expired list
// entry.
bool target_directory::apply_leaving(record& known, const listed_target& update)
{
    if (known.value.incarnation != update.incarnation || known.value.is_leaving)
        return false;
    known.last_left = update.incarnation;
    known.value.is_leaving = true;
    ++m_change_count;
    return true;
}

bool target_directory::note_announced_leaving(
    const target_incarnation& incarnation)
{
    const auto found = m_records.find(incarnation.id);
    if (found == m_records.end() ||
        found->second.announced_leaving == incarnation)
        return false;
    found->second.announced_leaving = incarnation;
    ++m_change_count;
    return true;
}

void target_directory::note_revision(record& known, std::uint64_t revision)
{
    known.newest_revision = std::max(known.newest_revision, revision);
    m_newest_revision = std::max(m_newest_revision, revision);
    ++m_change_count;
}

bool target_directory::note_removed(const std::string& id,
                                    std::uint64_t revision, instant now)
{
    record& known = m_records[id];
    if (revision <= known.newest_revision)
        return false;
    known.value.incarnation.id = id;
    note_revision(known, revision);
    // While the source is unavailable, list entries expire although their
    // targets are up. Removing them at once would leave a whole service without
    // targets; targets that are up register again within reregistration_time.
    // An entry written since the source was lost does not expire so soon.
    const bool may_have_expired =
        is_list_unreliable(now) && !known.is_removed && !known.has_lapsed &&
        !known.value.is_leaving && !known.value.address.empty();
    known.has_lapsed = known.has_lapsed || may_have_expired;
    if (may_have_expired)
        known.has_expired = true;
    else
        known.is_removed = true;
    return true;
}

// If the targets could not reach the source either, the entries of most of them
// expired. If most entries outlived the outage, only this process was cut off,
// and a removed entry is one of a target that left.
bool target_directory::is_expiry_general() const
{
    if (m_expiry_change_count == m_change_count)
        return m_is_expiry_general;
    std::size_t lapsed = 0;
    std::size_t listed = 0;
    for (const auto& [id, known] : m_records)
    {
        lapsed += known.has_lapsed ? 1 : 0;
        listed += known.has_lapsed || !known.is_removed ? 1 : 0;
    }
    m_is_expiry_general = 2 * lapsed >= listed;
    m_expiry_change_count = m_change_count;
    return m_is_expiry_general;
}

bool target_directory::may_have_expired(const std::string& id) const
{
    const auto found = m_records.find(id);
    return found != m_records.end() && found->second.has_expired;
}

bool target_directory::note_confirmed_removal(const std::string& id,
                                              std::uint64_t revision)
{
    record& known = m_records[id];
    // For a target whose entry expired here, any removal that is newer than the
    // entry confirms that the target is gone.
    const std::uint64_t newest =
        known.has_expired ? known.value.revision : known.newest_revision;
    if (revision <= newest)
        return false;
    known.value.incarnation.id = id;
    known.is_removed = true;
    known.has_expired = false;
    note_revision(known, revision);
    return true;
}

// The writer of an unreadable entry may have meant the previous target or
// another one at its address. A request sent there may reach the wrong target,
// and the next readable entry brings the target back.
bool target_directory::note_unreadable(const std::string& id,
                                       std::uint64_t revision)
{
    return note_confirmed_removal(id, revision);
}

std::uint64_t target_directory::digest() const
{
    if (m_digest_change_count == m_change_count)
        return m_digest;
    m_digest = 0;
    for (const auto& [id, known] : m_records)
    {
        const int state =
            (known.is_removed ? 2 : 0) + (known.value.is_leaving ? 1 : 0);
        m_digest += election_rank(
            id, std::to_string(known.newest_revision * 4 +
                               static_cast<std::uint64_t>(state)));
    }
    m_digest_change_count = m_change_count;
    return m_digest;
}

void target_directory::note_partial_list(const std::vector<listed_target>& part)
{
    for (const listed_target& target : part)
        apply(target);
}

std::vector<std::string>
target_directory::note_full_list(const std::vector<listed_target>& list,
                                 std::uint64_t revision, instant now)
{
    note_partial_list(list);
    std::set<std::string> present;
    for (const listed_target& target : list)
        present.insert(target.incarnation.id);
    std::vector<std::string> missing;
    for (const auto& [id, known] : m_records)
        if (!known.is_removed && !known.has_expired && !present.contains(id) &&
            known.newest_revision < revision)
            missing.push_back(id);
    for (const std::string& id : missing)
        note_removed(id, revision, now);
    m_newest_revision = std::max(m_newest_revision, revision);
    m_full_list_revision = std::max(m_full_list_revision, revision);
    return missing;
}

void target_directory::set_source_available(bool is_available, instant now)
{
    if (is_available == m_is_source_available)
        return;
    m_is_source_available = is_available;
    m_is_list_settled = false;
    (is_available ? m_source_back_at : m_source_lost_at) = now;
    if (is_available)
        return;
    for (auto& [id, known] : m_records)
        known.has_lapsed = known.has_expired;
    ++m_change_count;
}

bool target_directory::is_list_unreliable(instant now) const
{
    if (!m_is_source_available)
        return true;
    return m_source_lost_at && m_source_back_at &&
           now < *m_source_back_at + reregistration_time;
}

void target_directory::expire(instant now)
{
    if (m_is_list_settled || !m_is_source_available || !m_source_back_at ||
        now < *m_source_back_at + reregistration_time)
        return;
    m_is_list_settled = true;
    for (auto& [id, known] : m_records)
    {
        known.has_lapsed = false;
        if (!known.has_expired)
            continue;
        known.has_expired = false;
        known.is_removed = true;
        ++m_change_count;
    }
}

void target_directory::set_evacuated_zones(std::set<std::string> zones)
{
    if (zones == m_evacuated)
        return;
    m_evacuated = std::move(zones);
    ++m_change_count;
}

bool target_directory::is_evacuated(const std::string& service) const
{
    if (m_evacuated.empty() || !serving(service).empty())
        return false;
    return std::any_of(m_records.begin(), m_records.end(),
                       [&](const auto& item) {
                           return item.second.value.service == service &&
                                  is_in_service(item.second);
                       });
}

// Called for each request and each call for pieces, while the list changes a
// few times per second: a search through the whole list on each call cost CPU
// time that grew with the number of targets of all services.
const std::vector<const listed_target*>&
target_directory::serving(const std::string& service) const
{
    if (m_serving_change_count != m_change_count)
    {
        m_serving.clear();
        for (const auto& [id, known] : m_records)
            if (may_serve(known))
                m_serving[known.value.service].push_back(&known.value);
        m_serving_change_count = m_change_count;
    }
    return m_serving[service];
}

const listed_target*
target_directory::find(const target_incarnation& incarnation) const
{
    const auto found = m_records.find(incarnation.id);
    if (found == m_records.end() || !may_serve(found->second) ||
        found->second.value.incarnation != incarnation)
        return nullptr;
    return &found->second.value;
}

bool target_directory::is_leaving(const target_incarnation& incarnation) const
{
    const auto found = m_records.find(incarnation.id);
    return found != m_records.end() &&
           (found->second.last_left == incarnation ||
            found->second.announced_leaving == incarnation);
}

std::string
target_directory::version_of(const target_incarnation& incarnation) const
{
    const auto found = m_records.find(incarnation.id);
    return found == m_records.end() ||
                   found->second.value.incarnation != incarnation
               ? std::string()
               : found->second.value.version;
}

std::set<stream_origin> target_directory::take_seen_versions()
{
    std::set<stream_origin> seen = std::exchange(m_seen_versions, {});
    for (const auto& [id, known] : m_records)
        if (!known.is_removed)
            seen.insert({known.value.service, known.value.version});
    return seen;
}

std::vector<listed_target> target_directory::all() const
{
    std::vector<listed_target> targets;
    for (const auto& [id, known] : m_records)
    {
        // A target whose entry only expired here is reported as it was listed:
        // whether the target is gone is not known yet.
        targets.push_back(known.value);
        if (!known.is_removed)
            continue;
        targets.back().address.clear();
        targets.back().revision = known.newest_revision;
    }
    return targets;
}

} // namespace mangofold::decision
