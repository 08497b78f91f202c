#pragma once

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

/// A target as its own entry in the published list describes it.
struct listed_target
{
    target_start start;
    std::string service;
    std::string address; ///< "IP:port"; may name another target later.
    std::string zone;
    std::uint32_t slots = 1;
    bool is_leaving = false;
    std::uint64_t revision = 0; ///< Of the list, when this was written.
    duration cold_for{};        ///< As it said when it was written.

    friend bool operator==(const listed_target&,
                           const listed_target&) = default;
};

/// The targets that may get new work, from a published list that can be
/// stale, away or in pieces, and from peers that read it too.
///
/// Every change carries the list's revision, so the newest one about a target
/// wins, whoever brings it and in whatever order.
class target_directory
{
public:
    target_directory() = default;
    // What serving() returns points into the directory.
    target_directory(const target_directory&) = delete;
    target_directory& operator=(const target_directory&) = delete;
    target_directory(target_directory&&) = default;
    target_directory& operator=(target_directory&&) = default;
    ~target_directory() = default;

    /// How long an entry that lapsed while the list was away may take to come
    /// back after the list's return: two seconds as published, and half a
    /// second for the way here.
    static constexpr duration return_time = std::chrono::milliseconds(2500);

    /// Notes what the list says of a target. Returns whether it was news.
    bool note(const listed_target& one);

    /// Notes that the list no longer holds \a id as of \a revision.
    bool note_removed(const std::string& id, std::uint64_t revision,
                      instant now);

    /// Notes that \a id is gone for good, as somebody saw whose list was in
    /// order.
    void note_gone(const std::string& id, std::uint64_t revision);

    /// Notes that what stands under \a id as of \a revision names no target:
    /// one that stood there before is no longer one to use. Returns whether it
    /// was news.
    bool note_unreadable(const std::string& id, std::uint64_t revision);

    /// Notes a part of the list.
    void note_listed(const std::vector<listed_target>& part);

    /// Notes the whole list, read no earlier than \a revision: targets that
    /// it lacks are removed as of then.
    void note_all(const std::vector<listed_target>& list,
                  std::uint64_t revision, instant now);

    /// Notes whether the list can be read.
    void set_source(bool is_there, instant now);

    /// Whether the list could be read last.
    bool has_source() const { return m_is_source_there; }

    /// Sets the zones whose targets get nothing.
    void set_evacuated(std::set<std::string> zones);

    /// Whether \a service has targets, and all of them are in zones that are
    /// evacuated.
    bool is_evacuated(const std::string& service) const;

    /// Forgets the targets that did not come back in time.
    void expire(instant now);

    /// Returns the targets of \a service that may get new work. Valid until
    /// the next change.
    const std::vector<const listed_target*>&
    serving(const std::string& service) const;

    /// Returns the target that began with \a start where it may get new work,
    /// or nothing.
    const listed_target* find(const target_start& start) const;

    /// Whether the target that began with \a start was seen leaving.
    bool is_leaving(const target_start& start) const;

    /// Returns everything known, removed targets with their revision only.
    std::vector<listed_target> all() const;

    /// Returns a number that differs where two directories do.
    std::uint64_t digest() const;

    std::uint64_t newest_revision() const { return m_newest; }

    /// Rises with each change.
    std::uint64_t changes() const { return m_changes; }

private:
    struct record
    {
        listed_target value;      ///< As it was last listed.
        std::uint64_t newest = 0; ///< Revision of the newest word about it.
        bool is_removed = false;
        bool has_lapsed = false;          ///< Removed, but may come back.
        std::optional<target_start> left; ///< The newest seen leaving.
    };

    bool is_in_service(const record& one) const
    {
        return !one.is_removed && !one.value.is_leaving;
    }
    bool may_serve(const record& one) const
    {
        return is_in_service(one) && !m_evacuated.contains(one.value.zone);
    }
    bool is_unsettled(instant now) const;
    bool take(const listed_target& one);
    bool take_unlisted(const listed_target& one);
    bool take_leaving(record& known, const listed_target& one);
    void note_word(record& known, std::uint64_t revision);

    std::map<std::string, record> m_records;
    std::set<std::string> m_evacuated; ///< Zones.
    bool m_is_source_there = false;
    bool m_is_settled = false; ///< What the list lacks is gone.
    std::optional<instant> m_lost_at;
    std::optional<instant> m_back_at;
    std::uint64_t m_newest = 0;
    std::uint64_t m_whole_at = 0; ///< Revision of the newest whole list.
    std::uint64_t m_changes = 0;
    mutable std::uint64_t m_digest = 0;
    mutable std::uint64_t m_digest_of = ~std::uint64_t{0}; ///< m_changes.
    mutable std::unordered_map<std::string, std::vector<const listed_target*>>
        m_serving;                                          ///< By service.
    mutable std::uint64_t m_serving_of = ~std::uint64_t{0}; ///< m_changes.
};

} // namespace mangofold::decision
