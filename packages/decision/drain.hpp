#pragma once

#include "decision/time.hpp"

namespace mangofold::decision
{

/// Graceful shutdown of an entry: decides which new requests a stopping
/// process accepts and when the process may exit.
class drain
{
public:
    /// The process was told to stop at \a began and must exit within
    /// \a grace. The load balancer stops sending new connections after
    /// \a required_replies readiness checks were answered with "not ready".
    drain(instant began, duration grace, int required_replies);

    /// Records that a readiness check was answered with "not ready".
    void note_unready_told(instant now);

    /// Whether the load balancer sends new connections elsewhere by \a now.
    bool is_noticed(instant now) const;

    /// Returns the time at which the process was told to stop.
    instant began() const { return m_began; }

    /// Returns the time by which every request must have ended.
    instant end() const;

    /// The expected duration of a request.
    struct request_time
    {
        duration usual{};
        duration longest{};

        friend bool operator==(const request_time&,
                               const request_time&) = default;
    };

    /// Whether a request that arrives at \a now is accepted. \a is_outlasted
    /// tells whether enough other entries run longer than this one to serve
    /// the request.
    bool takes(instant now, const request_time& time, bool is_outlasted) const;

    /// Whether the process may exit; \a is_idle tells whether no work is left.
    bool may_end(instant now, bool is_idle) const;

private:
    instant removed_from_rotation_at() const;

    instant m_began;
    duration m_grace;
    int m_replies_left;
    instant m_last_reply_at{}; ///< Time of the last required reply.
};

} // namespace mangofold::decision
