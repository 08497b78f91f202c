#pragma once

#include "decision/attempt_policy.hpp"
#include "decision/attempt_step.hpp"

#include <cstddef>
#include <optional>

namespace mangofold::decision
{

/// The attempts at one stage that runs at most once: only at the target that
/// owns the request, or at the next owner after the one before it said that
/// it did not run the request and never will.
class owned_run
{
public:
    /// \a owners lists the targets in the order in which they own the
    /// request; with a ticket, the ticket's target stands alone in
    /// \a ticket_target.
    owned_run(attempt_policy policy, instant deadline,
              std::vector<std::string> owners,
              std::optional<std::string> ticket_target = std::nullopt);

    /// Returns what to do now.
    attempt_step next(instant now);

    /// Notes that the attempt just asked for left on a stream to process
    /// \a incarnation of the owner.
    void sent(std::uint64_t incarnation);

    /// Notes that the attempt just asked for could not leave.
    void not_sent(instant now);

    /// Notes that the stream ended while \a attempt was under way.
    void link_lost(std::uint32_t attempt, instant now);

    /// Notes how \a attempt ended. Returns whether it was the newest one.
    bool ended(std::uint32_t attempt, const stage_result& result, instant now);

    bool may_have_run() const { return m_pinned != 0; }
    std::uint32_t attempt() const { return m_attempt; }

private:
    const std::string& owner() const;
    attempt_step give_up(reason why) const;
    void retry_after(duration wait, instant now);

    attempt_policy m_policy;
    instant m_deadline;
    std::vector<std::string> m_owners;
    std::optional<std::string> m_ticket_target;
    std::size_t m_owner = 0;
    std::vector<std::string> m_renounced_by;
    std::uint64_t m_pinned = 0; ///< Process that may have run it, or 0.
    std::uint32_t m_attempt = 0;
    std::uint32_t m_resyncs = 0;
    bool m_is_out = false;
    instant m_not_before{};
    std::optional<stage_result> m_last;
    std::optional<stage_result> m_final;
};

} // namespace mangofold::decision
