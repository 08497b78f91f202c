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
/// requests that were in progress on the targets, and by the parts of their
/// prompts. Functions with a parameter `content` take either.
///
/// Each entry has a copy and sends the changes of its copy to the others, in
/// any order and possibly more than once. Merging is monotonic (records are
/// only added, and a refuted record stays refuted), so all copies converge.
class crash_log
{
public:
    /// How long a crash is remembered.
    static constexpr duration lifetime = std::chrono::hours(1);

    /// How long the crashes of a part with many incidents are remembered. No
    /// caller is served by forgetting it while its targets would still crash.
    static constexpr duration part_lifetime = std::chrono::hours(7 * 24);

    /// The number of incidents from which the crashes of a part are remembered
    /// for longer, the one from which requests with it are not simply sent.
    static constexpr std::size_t many_incidents = 3;

    /// The maximum number of records, of some 350 bytes each. Each crash of a
    /// target adds one record for each request that was in progress on it.
    static constexpr std::size_t max_size = 4096;

    /// Records a crash that this entry saw or another entry reported. Returns
    /// whether the record changed the log.
    bool note(const target_crash& crash, instant now);

    /// Refutes the crashes recorded for \a content until \a answered_at, when
    /// a run of it began to be answered that its target survived. Returns the
    /// number of newly refuted records.
    std::size_t note_completed(const digest& content,
                               instant answered_at = instant::max());

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
        /// The incidents of another request (or part, if this is a part) with
        /// several of them that was in progress on each of the targets, the
        /// most of any; 0 if there was none.
        std::size_t other_incidents = 0;

        bool is_shared() const { return other_incidents > 0; }

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
        /// When each of the runs was sent and crashed its target, oldest crash
        /// first.
        std::vector<incident> crashes;
        name_set accounts; ///< Of a part, as in target_crash.
        name_set versions;
        /// Whether crashes recorded for it were refuted before.
        bool was_cleared = false;

        std::size_t incident_count() const { return incidents.size(); }
        std::size_t shared_incident_count() const;

        friend bool operator==(const evidence&, const evidence&) = default;
    };

    /// Returns the crashes of \a content that are not refuted.
    evidence evidence_against(const digest& content) const;

    /// Returns the number of crashes recorded for \a content that are not
    /// refuted.
    std::size_t unrefuted_count(const digest& content) const;

    /// Returns the time of the newest crash, refuted or not.
    instant newest_crash_at() const { return m_newest_crash_at; }

    /// Returns the requests whose trial was claimed after \a time, sorted.
    std::vector<digest> claimed_since(instant time) const;

    /// Returns the number of requests with at least \a count incidents.
    std::size_t contents_with_incidents(std::size_t count) const;

    /// Returns the parts of prompts with at least \a count incidents.
    std::vector<digest> parts_with_incidents(std::size_t count) const;

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

    /// Removes records that are older than their lifetime.
    void expire(instant now);

private:
    using changes_by_target = std::map<target_incarnation, std::uint64_t>;

    /// The records of one request or part.
    struct history
    {
        changes_by_target changes;
        std::size_t unrefuted = 0; ///< Claims included.
        bool is_part = false;
        bool was_cleared = false; ///< See evidence.
    };

    /// The requests that were in progress when a target crashed.
    struct suspects
    {
        std::unordered_set<digest, digest_hash> contents;
        instant alive_at{}; ///< The newest answer of the target.
    };

    /// Returns the records of \a content that are not refuted, oldest first.
    std::vector<const target_crash*> unrefuted(const digest& content) const;
    std::size_t incident_count(const digest& content) const;
    std::size_t other_incidents(const target_crash& crash) const;
    void add(const target_crash& crash);
    void remove(std::uint64_t change);
    void replace(std::uint64_t change, const target_crash& crash);
    bool merge(std::uint64_t change, const target_crash& other);
    bool refute(std::uint64_t change);
    void evict();
    duration lifetime_of(const target_crash& crash) const;
    std::vector<digest> with_incidents(std::size_t count, bool is_part) const;

    std::map<std::uint64_t, target_crash> m_records; ///< By change number.
    std::unordered_map<digest, history, digest_hash> m_by_content;
    std::unordered_map<target_incarnation, suspects> m_by_target;
    std::uint64_t m_last_change = 0;
    std::uint64_t m_summary = 0;
    instant m_newest_crash_at{};
    instant m_newest_evicted_at{}; ///< The newest crash that was evicted.
};

} // namespace mangofold::decision
