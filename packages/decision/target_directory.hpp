#pragma once

#include "decision/streams/stream_origin.hpp"
#include "decision/target_incarnation.hpp"
#include "decision/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangofold::decision
{

/// A target as its entry in the published list describes it.
struct listed_target
{
    target_incarnation incarnation;
    std::string service;
    std::string address; ///< "IP:port"; may be another target's later.
    std::string zone;
    std::uint32_t slots = 1;
    bool is_leaving = false;
    std::uint64_t revision = 0; ///< Of the list when the entry was written.
    duration warm_up_left{};    ///< As the target reported it at that time.
    std::string version{};      ///< Of its software; empty if unknown.

    friend bool operator==(const listed_target&,
                           const listed_target&) = default;
};

/// The targets that may get new requests, merged from a published list that can
/// be stale, unavailable or delivered in parts, and from the copies of peers.
///
/// Each update carries the revision of the list, so the newest update about a
/// target wins, whoever sends it and in whatever order updates arrive.
class target_directory
{
public:
    target_directory() = default;
    // Not copyable: the pointers that serving() returns refer to the directory.
    target_directory(const target_directory&) = delete;
    target_directory& operator=(const target_directory&) = delete;
    target_directory(target_directory&&) = default;
    target_directory& operator=(target_directory&&) = default;
    ~target_directory() = default;

    /// How long after the source is back a target whose list entry expired
    /// meanwhile may take to register again: two seconds as published, and half
    /// a second until the update arrives here.
    static constexpr duration reregistration_time =
        std::chrono::milliseconds(2500);

    /// Notes an update about a target. Returns whether it was new.
    bool note(const listed_target& update);

    /// Notes that the list no longer contains \a id as of \a revision. Returns
    /// whether that was new.
    bool note_removed(const std::string& id, std::uint64_t revision,
                      instant now);

    /// Whether the list entry of \a id was removed but may only have expired.
    bool may_have_expired(const std::string& id) const;

    /// Notes that a process whose source was available saw \a id removed, so
    /// that the entry cannot merely have expired during an outage. Returns
    /// whether that was new.
    bool note_confirmed_removal(const std::string& id, std::uint64_t revision);

    /// Notes that the list entry of \a id as of \a revision does not describe a
    /// target: a target listed under \a id before must not be used any longer.
    /// Returns whether that was new.
    bool note_unreadable(const std::string& id, std::uint64_t revision);

    /// Notes that \a incarnation announced in a response that it is leaving:
    /// it gets no more requests of this process, whatever the list contains.
    /// Returns whether that was new.
    bool note_announced_leaving(const target_incarnation& incarnation);

    /// Notes a part of the list.
    void note_partial_list(const std::vector<listed_target>& part);

    /// Notes the full list, read at \a revision or later: targets that it does
    /// not contain are removed as of \a revision. Returns their ids.
    std::vector<std::string>
    note_full_list(const std::vector<listed_target>& list,
                   std::uint64_t revision, instant now);

    /// Notes whether the list can be read.
    void set_source_available(bool is_available, instant now);

    /// Whether the list could be read at the last attempt.
    bool is_source_available() const { return m_is_source_available; }

    /// Sets the zones whose targets get no requests.
    void set_evacuated_zones(std::set<std::string> zones);

    /// Whether \a service has targets and all of them are in evacuated zones.
    bool is_evacuated(const std::string& service) const;

    /// Removes the targets that did not register again in time.
    void expire(instant now);

    /// Returns the targets of \a service that may get new requests. Valid until
    /// the next change.
    const std::vector<const listed_target*>&
    serving(const std::string& service) const;

    /// Returns the target with \a incarnation if it may get new requests, or
    /// nothing.
    const listed_target* find(const target_incarnation& incarnation) const;

    /// Whether the target with \a incarnation was seen leaving, or announced
    /// it.
    bool is_leaving(const target_incarnation& incarnation) const;

    /// Returns the software version of \a incarnation; empty if it is unknown,
    /// or if another incarnation runs under that id now.
    std::string version_of(const target_incarnation& incarnation) const;

    /// Returns the services with the versions of their targets: of all that are
    /// listed, and of those that were since the last call.
    std::set<stream_origin> take_seen_versions();

    /// Returns all known targets; removed ones have no address and the revision
    /// of their removal.
    std::vector<listed_target> all() const;

    /// Returns a hash of the content, to detect that two directories differ.
    std::uint64_t digest() const;

    std::uint64_t newest_revision() const { return m_newest_revision; }

    /// Increases with each change.
    std::uint64_t change_count() const { return m_change_count; }

private:
    struct record
    {
        listed_target value;               ///< As last listed.
        std::uint64_t newest_revision = 0; ///< Of all updates about the target.
        bool is_removed = false;
        bool has_expired = false; ///< Not listed, but may register again.
        /// The list entry was removed or written again since the source was
        /// lost, as happens to an entry that expires.
        bool has_lapsed = false;
        std::optional<target_incarnation> last_left; ///< Last seen leaving.
        /// Last one that announced to this process that it is leaving. Not part
        /// of the digest, which must agree among entries that read one list.
        std::optional<target_incarnation> announced_leaving;
        /// The list has shown two versions for one incarnation.
        bool has_ambiguous_version = false;
    };

    bool is_in_service(const record& known) const
    {
        return !known.is_removed && !known.value.is_leaving &&
               known.announced_leaving != known.value.incarnation;
    }
    bool may_serve(const record& known) const
    {
        return is_in_service(known) &&
               !m_evacuated.contains(known.value.zone) &&
               (!known.has_expired || is_expiry_general());
    }
    /// Whether the last outage of the source made most list entries lapse.
    bool is_expiry_general() const;
    bool is_list_unreliable(instant now) const;
    bool apply(const listed_target& update);
    bool apply_unlisted(const listed_target& update);
    bool apply_leaving(record& known, const listed_target& update);
    bool complete_version(record& known, const listed_target& update);
    void assign(record& known, const listed_target& update);
    void note_revision(record& known, std::uint64_t revision);

    std::map<std::string, record> m_records;
    std::set<std::string> m_evacuated; ///< Zones.
    std::set<stream_origin> m_seen_versions;
    bool m_is_source_available = false;
    /// Whether targets that the list does not contain are gone for good.
    bool m_is_list_settled = false;
    std::optional<instant> m_source_lost_at;
    std::optional<instant> m_source_back_at;
    std::uint64_t m_newest_revision = 0;
    std::uint64_t m_full_list_revision = 0; ///< Of the newest full list.
    std::uint64_t m_change_count = 0;
    // Caches, each with the m_change_count that it was computed for.
    mutable std::uint64_t m_digest = 0;
    mutable std::uint64_t m_digest_change_count = ~std::uint64_t{0};
    mutable std::unordered_map<std::string, std::vector<const listed_target*>>
        m_serving; ///< By service.
    mutable std::uint64_t m_serving_change_count = ~std::uint64_t{0};
    mutable bool m_is_expiry_general = false;
    mutable std::uint64_t m_expiry_change_count = ~std::uint64_t{0};
};

} // namespace mangofold::decision
