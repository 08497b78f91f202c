#pragma once

#include "decision/time.hpp"

namespace mangofold::decision
{

/// How a process that was told to stop goes on for its callers: which new
/// requests it takes, and when it may end.
class drain
{
public:
    /// The process was told to stop at \a began and must have ended after
    /// \a grace. A balancer sends it no new callers after \a answers to
    /// whether it is ready that say no.
    drain(instant began, duration grace, int answers);

    /// Notes that the balancer was told at \a now that this process is not
    /// ready.
    void note_unready_told(instant now);

    /// Whether new callers are sent elsewhere by \a now.
    bool is_noticed(instant now) const;

    /// Returns when the process was told to stop.
    instant began() const { return m_began; }

    /// Returns the time by which each request must have ended.
    instant end() const;

    /// How long a request takes, as far as is known.
    struct request_time
    {
        duration usual{};
        duration longest{};

        friend bool operator==(const request_time&,
                               const request_time&) = default;
    };

    /// Whether a request that comes at \a now is taken. \a is_outlasted tells
    /// whether enough other entries go on for longer to take it.
    bool takes(instant now, const request_time& time, bool is_outlasted) const;

    /// Whether the process may end; \a is_idle tells whether it has nothing
    /// left to do.
    bool may_end(instant now, bool is_idle) const;

private:
    instant noticed_at() const;

    instant m_began;
    duration m_grace;
    int m_answers_left;
    instant m_told_at{}; ///< The last of these answers.
};

} // namespace mangofold::decision
