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

/// Keeps stages of requests that end their targets from them. For all threads.
class content_guard
{
public:
    content_guard(const runtime::clock& time, runtime::metrics& counters)
        : m_clock(time), m_metrics(counters)
    {
    }

    /// Sets what the place of this entry among all is asked of.
    void set_seat(std::function<decision::ordinal()> seat);

    /// Returns when \a content may be sent to a target, where it may not be
    /// sent now. Waits while it is in doubt, until \a deadline; what comes to
    /// \a replies meanwhile answers attempts that were given up.
    std::optional<decision::duration> keep_back(const decision::digest& content,
                                                decision::instant deadline,
                                                mailbox& replies);

    /// Notes what a sidecar says of its target.
    void note_end(const decision::target_crash& one);

    /// Notes that a target ran \a content to its end.
    void note_served(const decision::digest& content);

private:
    using seen_end = std::pair<decision::digest, decision::target_incarnation>;

    decision::quarantine::verdict judge(const decision::digest& content);
    void dismiss(const seen_end& one);
    void expire(decision::instant now);

    const runtime::clock& m_clock;
    runtime::metrics& m_metrics;
    std::mutex m_mutex;
    std::function<decision::ordinal()> m_seat = []
    { return decision::ordinal(); };
    decision::quarantine m_known;
    std::set<seen_end> m_dismissed; ///< Ends that speak against nothing.
    decision::instant m_expired_at{};
};

} // namespace mangofold::entry
