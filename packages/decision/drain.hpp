#pragma once

#include "decision/other_entries.hpp"
#include "decision/time.hpp"

#include <optional>

namespace mangofold::decision
{

/// Graceful shutdown of an entry: decides which new requests a stopping
/// process accepts and when the process may exit.
class drain
{
public:
    /// The process was told to stop at \a started_at and must exit within
    /// \a grace. The load balancer stops sending new connections after
    /// \a required_replies readiness checks were answered with "not ready".
    drain(instant started_at, duration grace, int required_replies);

    /// Records that a readiness check was answered with "not ready".
    void note_unready_reply(instant now);

    /// Whether the load balancer sends new connections elsewhere by \a now.
    bool is_out_of_rotation(instant now) const;

    /// Returns the time at which the process was told to stop.
    instant started_at() const { return m_started_at; }

    /// Returns the time by which every request must have ended.
    instant request_deadline() const;

    /// Returns the time from which the requests that no target has are
    /// rejected, so that their callers get an answer before the process ends.
    instant last_answers_at() const;

    /// How long a request takes.
    struct request_duration
    {
        duration typical{}; ///< An estimate.
        duration bound{};   ///< After this time it has ended in any case.

        friend bool operator==(const request_duration&,
                               const request_duration&) = default;
    };

    /// Whether a request that arrives at \a now is accepted. \a others tells
    /// which entries serve it if not, and \a is_returning whether its caller
    /// was refused before.
    bool accepts(instant now, const request_duration& time,
                 other_entries others, bool is_returning = false) const;

    /// For so long after it was told to stop, an entry that leaves nothing to
    /// others accepts every request.
    static constexpr duration min_taking_time = std::chrono::milliseconds(2300);

    /// Records that the requests that no target has are rejected at \a now,
    /// the first time.
    void note_last_answers(instant now);

    /// Whether the process may exit; \a is_idle tells whether no work is left.
    bool may_exit(instant now, bool is_idle) const;

private:
    instant out_of_rotation_at() const;

    instant m_started_at;
    duration m_grace;
    int m_replies_left;
    instant m_last_reply_at{}; ///< Time of the last required reply.
    std::optional<instant> m_last_answers_began_at;
};

} // namespace mangofold::decision
