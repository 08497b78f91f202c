#pragma once

#include "decision/target_ends.hpp"

#include <functional>
#include <set>
#include <string>
#include <unordered_map>

namespace mangofold::decision
{

/// The place of this entry among those that answer, for one matter.
struct seat
{
    std::size_t place = 0; ///< From 0.
    std::size_t of = 1;

    friend bool operator==(const seat&, const seat&) = default;
};

/// Returns those of \a targets that are left to trials at other places.
std::set<target_incarnation>
kept_for_others(const seat& own, std::vector<target_incarnation> targets);

/// Keeps a request under which several targets ended from the others, and lets
/// one target try it from time to time.
class quarantine
{
public:
    /// Ends under a request after which it is kept from targets. Two happen to
    /// a request that was there by chance, and was sent once more; a third
    /// with none that went well before it hardly does.
    static constexpr std::size_t most_ends = 3;

    /// Runs of it that end their targets after that, where another request of
    /// several ends was at some of the first three, so that either may have
    /// ended them.
    static constexpr std::size_t most_failed_trials = 2;

    enum class admission : std::uint8_t
    {
        open,  ///< To any target.
        apart, ///< Not to where another request in doubt is in progress.
        trial, ///< The same, to see whether it still ends its target.
        held,  ///< Not yet: it is known soon whether it ends its target.
        refused
    };

    struct verdict
    {
        admission how = admission::open;
        std::size_t ends = 0;  ///< That speak against it.
        duration back_after{}; ///< When it may be tried next, if refused.

        friend bool operator==(const verdict&, const verdict&) = default;
    };

    /// Returns what may be done with \a content now; \a own_seat is asked for
    /// where it is a matter of whose turn a trial is.
    verdict judge(const digest& content, instant now,
                  const std::function<seat()>& own_seat) const;

    /// Sets what the other entries call this one.
    void set_own_name(std::string name) { m_own = std::move(name); }

    /// Notes that a request of \a content that is held waits here.
    void note_waiting(const digest& content, instant now);

    /// Notes that one that is admitted as a trial goes on.
    void note_tried(const digest& content, instant now);

    /// Returns the place of \a content among those that are tried now.
    seat place_in_trial(const digest& content, instant now) const;

    /// Notes that \a one was lost with its target, as seen here. Returns
    /// whether that speaks against the request.
    bool note_end(const target_end& one, instant now);

    /// Notes that a target ran \a content to its end. Returns how many ends
    /// that refutes.
    std::size_t note_served(const digest& content, instant now);

    /// Notes that \a content, admitted apart or as a trial, was sent to
    /// \a target, ...
    void note_begun(const digest& content, const target_incarnation& target);
    /// ... and that it is no longer in progress there.
    void note_over(const digest& content, const target_incarnation& target);

    /// Returns the targets where requests in doubt other than \a content are
    /// in progress.
    std::set<target_incarnation> occupied(const digest& content) const;

    /// Forgets what is too old.
    void expire(instant now);

    target_ends& ends() { return m_ends; }
    const target_ends& ends() const { return m_ends; }

private:
    bool is_doubtful(const target_ends::finding& found) const;
    verdict judge_doubtful(const digest& content,
                           const target_ends::finding& found,
                           instant now) const;
    bool is_tried(const digest& content, const target_ends::finding& found,
                  instant now) const;
    bool was_served_lately(const digest& content, instant now) const;

    std::string m_own;
    target_ends m_ends;
    std::unordered_map<digest, instant, digest_hash> m_tried;
    std::unordered_map<digest, instant, digest_hash> m_served;
    std::unordered_map<digest, std::multiset<target_incarnation>, digest_hash>
        m_in_progress;
};

} // namespace mangofold::decision
