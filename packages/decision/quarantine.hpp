#pragma once

#include "decision/crash_log.hpp"
#include "decision/ordinal.hpp"

#include <functional>
#include <set>
#include <string>
#include <unordered_map>

namespace mangofold::decision
{

/// Returns those of \a targets that are reserved for other members: targets are
/// assigned round-robin, and \a own is the position of the caller.
std::set<target_incarnation>
targets_reserved_for_others(const ordinal& own,
                            std::vector<target_incarnation> targets);

/// Stops sending a request to targets once several targets crashed while they
/// ran it, and sends it to a single target from time to time to find out
/// whether it still crashes targets.
///
/// Requests are identified by their content, since callers resend them under
/// new ids and to other entries.
class quarantine
{
public:
    /// The number of incidents after which a request is sent to no target. A
    /// request that was in progress by chance can reach two incidents, as it is
    /// resent once; it hardly reaches a third without a completed run before.
    static constexpr std::size_t max_incidents = 3;

    /// The number of trials that crash their targets after which a request in
    /// doubt is refused. A request is in doubt while another request with
    /// several incidents was in progress in some of its first three, so that
    /// either of the two may have crashed the targets.
    static constexpr std::size_t max_failed_trials = 2;

    enum class admission : std::uint8_t
    {
        unrestricted, ///< Sent to any target.
        isolated, ///< Sent to no target that runs another suspected request.
        trial,    ///< As isolated, to find out whether it crashes its target.
        held,     ///< Waits, since the outcome is known soon.
        refused
    };

    struct verdict
    {
        admission outcome = admission::unrestricted;
        std::size_t incidents = 0; ///< Held against the request.
        duration retry_after{};    ///< Until the next trial, if refused.

        friend bool operator==(const verdict&, const verdict&) = default;
    };

    /// Decides how to handle a request of \a content now. \a own_ordinal
    /// returns the position of this entry among the live entries; it is only
    /// called where the decision depends on it.
    verdict evaluate(const digest& content, instant now,
                     const std::function<ordinal()>& own_ordinal) const;

    /// Sets the name under which the other entries know this entry.
    void set_own_name(std::string name) { m_own_name = std::move(name); }

    /// Claims a trial for a held request of \a content that waits on this
    /// entry, unless a claim by any entry is still valid.
    void note_waiting(const digest& content, instant now);

    /// Notes that a request admitted as a trial goes ahead.
    void note_trial(const digest& content, instant now);

    /// Returns the position of \a content among the contents whose trial is
    /// claimed now.
    ordinal trial_ordinal(const digest& content, instant now) const;

    /// Records a crash seen by this entry. Returns whether it is held against
    /// the request.
    bool note_crash(const target_crash& crash, instant now);

    /// Notes that a target completed \a content. Returns the number of crash
    /// records that this refutes.
    std::size_t note_served(const digest& content, instant now);

    /// Notes that \a content, admitted as isolated or as a trial, was sent to
    /// \a target.
    void note_sent(const digest& content, const target_incarnation& target);
    /// Notes that \a content is no longer in progress on \a target.
    void note_finished(const digest& content, const target_incarnation& target);

    /// Returns the targets that run suspected requests other than \a content.
    std::set<target_incarnation> targets_of_others(const digest& content) const;

    /// Removes all records that are too old.
    void expire(instant now);

    crash_log& crashes() { return m_crashes; }
    const crash_log& crashes() const { return m_crashes; }

private:
    bool is_in_doubt(const crash_log::evidence& found) const;
    verdict evaluate_in_doubt(const digest& content,
                              const crash_log::evidence& found,
                              instant now) const;
    bool has_trial(const digest& content, const crash_log::evidence& found,
                   instant now) const;
    bool was_served_recently(const digest& content, instant now) const;

    std::string m_own_name;
    crash_log m_crashes;
    std::unordered_map<digest, instant, digest_hash> m_trial_started_at;
    std::unordered_map<digest, instant, digest_hash> m_served_at;
    std::unordered_map<digest, std::multiset<target_incarnation>, digest_hash>
        m_in_progress;
};

} // namespace mangofold::decision
