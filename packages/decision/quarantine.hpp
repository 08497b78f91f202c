#pragma once

#include "decision/crash_log.hpp"
#include "decision/ordinal.hpp"
#include "decision/suspects/request_suspects.hpp"

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
/// new ids and to other entries, and by the parts of their prompts, since
/// different requests can have the part in common that crashes targets.
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

    /// The trial of a request in doubt starts once no target has crashed for
    /// this long. Otherwise the request that does crash targets could crash the
    /// target of the trial too; it is identified while the request in doubt is
    /// held. After this time all entries also know of each crash.
    static const duration quiet_time;

    enum class admission : std::uint8_t
    {
        unrestricted, ///< Sent to any target.
        isolated, ///< Sent to no target that runs another suspected request.
        trial,    ///< As isolated, to find out whether it crashes its target.
        held,     ///< Waits, since the outcome is known soon.
        refused
    };

    /// The number of further sends of a part, once five crashes of it are
    /// known, after which no more trials are run while its records last.
    static constexpr std::size_t max_late_sends = 3;

    struct verdict
    {
        admission outcome = admission::unrestricted;
        std::size_t incidents = 0; ///< Held against the request, or the part.
        duration retry_after{};    ///< Until the next trial, if refused.
        /// The content of the request, or the part of its prompt, that decides.
        digest suspect{};
        bool is_part = false; ///< Whether `suspect` is a part.
        /// Of a trial: the software versions of targets not to be used, since
        /// the trial is to show whether another version survives it.
        name_set excluded_versions{};

        friend bool operator==(const verdict&, const verdict&) = default;
    };

    /// Decides how to handle a request of \a content now. \a own_ordinal
    /// returns the position of this entry among the live entries; it is only
    /// called where the decision depends on it.
    verdict evaluate(const digest& content, instant now,
                     const std::function<ordinal()>& own_ordinal) const;

    /// Decides how to handle a request now by its content and by the parts of
    /// its prompt. \a serving_versions returns the software versions of the
    /// targets that can serve the request; it is called like \a own_ordinal.
    verdict evaluate(const request_suspects& request, instant now,
                     const std::function<ordinal()>& own_ordinal,
                     const std::function<name_set()>& serving_versions) const;

    enum class part_state : std::uint8_t
    {
        clear,     ///< Requests with the part are sent like any other.
        suspected, ///< They are sent one at a time, as trials.
        refused    ///< They are refused, perhaps for one account only.
    };

    /// Returns the state of \a part for requests of an account whose requests
    /// with it have crashed targets.
    part_state state_of(const digest& part, instant now) const;

    /// Sets the name under which the other entries know this entry.
    void set_own_name(std::string name) { m_own_name = std::move(name); }

    /// Claims a trial for a held request of \a content that waits on this
    /// entry, unless a claim by any entry is still valid.
    void note_waiting(const digest& content, instant now, bool is_part = false);

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

    /// Notes that a target survived a request with the part \a part, which it
    /// began to answer at \a answered_at. Returns the number of crash records
    /// that this refutes.
    std::size_t note_part_survived(const digest& part, instant answered_at)
    {
        return m_crashes.note_completed(part, answered_at);
    }

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
    verdict
    evaluate_part(const digest& part, name_set account, instant now,
                  const std::function<name_set()>& serving_versions) const;
    verdict evaluate_part_in_doubt(const digest& part,
                                   const crash_log::evidence& found,
                                   instant now) const;
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
