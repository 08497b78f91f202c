#pragma once

#include "decision/quarantine.hpp"
#include "entry/mailbox.hpp"
#include "runtime/clock.hpp"
#include "runtime/metrics.hpp"

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

namespace mangofold::entry
{

/// Stops sending request contents to targets that crash while they run them.
///
/// Wraps decision::quarantine for the pipeline runner: records the crashes that
/// sidecars report, and blocks or refuses stages whose content is suspected.
/// All functions may be called from any thread.
class content_guard
{
public:
    content_guard(const runtime::clock& clock, runtime::metrics& metrics)
        : m_clock(clock), m_metrics(metrics)
    {
    }

    /// Sets the function that returns the position of this entry among all
    /// entries.
    void set_own_ordinal(std::function<decision::ordinal()> own_ordinal);

    /// Returns the delay after which to resend \a content if it must not be
    /// sent to a target, or nothing if it may be sent now. Blocks while the
    /// decision depends on a running trial, until \a deadline at the latest,
    /// and discards what arrives in \a replies meanwhile, since that answers
    /// abandoned attempts.
    std::optional<decision::duration>
    quarantine_delay(const decision::digest& content,
                     decision::instant deadline, mailbox& replies);

    /// Records \a crash, as reported by the sidecar of the target.
    void note_crash(const decision::target_crash& crash);

    /// Notes that a target completed \a content.
    void note_served(const decision::digest& content);

private:
    using crash_key = std::pair<decision::digest, decision::target_incarnation>;

    decision::quarantine::verdict evaluate(const decision::digest& content);
    void ignore(const crash_key& key);
    void expire(decision::instant now);

    const runtime::clock& m_clock;
    runtime::metrics& m_metrics;
    std::mutex m_mutex;
    std::function<decision::ordinal()> m_own_ordinal = []
    { return decision::ordinal(); };
    decision::quarantine m_quarantine;
    std::set<crash_key> m_ignored_crashes; ///< Not held against any request.
    decision::instant m_last_expired_at{};
};

} // namespace mangofold::entry
