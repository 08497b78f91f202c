#pragma once

#include "decision/target_crash.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace mangofold::decision
{

/// The replicated record of target crashes, indexed by the content of the
/// requests that were in progress on the targets.
///
/// Each entry has a copy and sends the changes of its copy to the others, in
/// any order and possibly more than once. Merging is monotonic (records are
/// only added, and a refuted record stays refuted), so all copies converge.
class crash_log
{
public:
    /// How long a crash is remembered.
    static constexpr duration lifetime = std::chrono::hours(1);

    /// The maximum number of records, of some 350 bytes each. Each crash of a
    /// target adds one record for each request that was in progress on it.
    static constexpr std::size_t max_size = 4096;

    /// Records a crash that this entry saw or another entry reported. Returns
    /// whether the record changed the log.
    bool note(const target_crash& crash, instant now);

    /// Refutes all crashes recorded for \a content, since a run of it completed
    /// and its target survived. Returns the number of newly refuted records.
    std::size_t note_completed(const digest& content);

    /// Notes that \a target answered at \a now on a connection opened at
    /// \a opened, and refutes its crashes in between: a process that had ended
    /// would have closed the connection. Returns the number of newly refuted
    /// records.
    std::size_t note_alive(const target_incarnation& target, instant opened,
                           instant now);

    /// Whether \a target is known to have crashed before \a time and has not
    /// answered since.
    bool has_crashed(const target_incarnation& target, instant time) const;

    /// One or more overlapping runs of a request that each crashed a target.
    /// Crashes at about the same time count as one incident.
    struct incident
    {
        instant started_at{};
        instant crashed_at{};
        /// Whether another request with several incidents was in progress on
        /// each of the targets.
        bool is_shared = false;

        friend bool operator==(const incident&, const incident&) = default;
    };

    /// An entry's claim to run the next trial of a request.
    struct claim
    {
        std::string entry;
        instant claimed_at{};

        friend bool operator==(const claim&, const claim&) = default;
    };

    /// The crashes that are held against a request.
    struct evidence
    {
        std::vector<incident> incidents; ///< Oldest first, without overlap.
        std::vector<target_incarnation> targets;
        instant last_crash_at{};
        std::vector<claim> claims; ///< Since the last crash.

        std::size_t incident_count() const { return incidents.size(); }
        std::size_t shared_incident_count() const;

        friend bool operator==(const evidence&, const evidence&) = default;
    };

    /// Returns the crashes of \a content that are not refuted.
    evidence evidence_against(const digest& content) const;

    /// Returns the time of the newest crash, refuted or not.
    instant newest_crash_at() const { return m_newest_crash_at; }

    /// Returns the requests whose trial was claimed after \a time, sorted.
    std::vector<digest> claimed_since(instant time) const;

    /// Returns the number of requests with at least \a count incidents.
    std::size_t contents_with_incidents(std::size_t count) const;

    /// Returns up to \a max_count records added or changed after the change
    /// numbered \a last_change, and advances \a last_change past them.
    std::vector<target_crash> changes_after(std::uint64_t& last_change,
                                            std::size_t max_count,
                                            instant now) const;

    /// Returns a checksum of all records, by which two entries find out whether
    /// their logs differ.
    std::uint64_t summary() const { return m_summary; }

    std::size_t size() const { return m_records.size(); }
    bool is_empty() const { return m_records.empty(); }

    /// Removes records that are older than the lifetime.
    void expire(instant now);

private:
    using changes_by_target = std::map<target_incarnation, std::uint64_t>;

    /// The requests that were in progress when a target crashed.
    struct suspects
    {
        std::unordered_set<digest, digest_hash> contents;
        instant alive_at{}; ///< The newest answer of the target.
    };

    /// Returns the records of \a content that are not refuted, oldest first.
    std::vector<const target_crash*> unrefuted(const digest& content) const;
    bool is_shared(const target_crash& crash) const;
    void add(const target_crash& crash);
    void remove(std::uint64_t change);
    void replace(std::uint64_t change, const target_crash& crash);
    bool merge(std::uint64_t change, const target_crash& other);
    bool refute(std::uint64_t change);
    void evict();

    std::map<std::uint64_t, target_crash> m_records; ///< By change number.
    std::unordered_map<digest, changes_by_target, digest_hash> m_by_content;
    std::unordered_map<target_incarnation, suspects> m_by_target;
    std::uint64_t m_last_change = 0;
    std::uint64_t m_summary = 0;
    instant m_newest_crash_at{};
    instant m_newest_evicted_at{}; ///< The newest crash that was evicted.
};

} // namespace mangofold::decision
