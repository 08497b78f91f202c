#pragma once

#include "decision/attempt_policy.hpp"
#include "decision/attempt_step.hpp"

#include <cstddef>
#include <optional>

namespace mangofold::decision
{

/// Sequences the attempts at a stage that must run at most once. An attempt
/// goes only to the target that owns the request, or to the next owner after
/// the previous owner has reported that it did not run the request and never
/// will.
class owned_run
{
public:
    /// \a owners lists the targets in order of ownership of the request. If
    /// the request has a ticket, \a ticket_target is the target that issued
    /// the ticket and goes before \a owners.
    owned_run(attempt_policy policy, instant deadline,
              std::vector<std::string> owners,
              std::optional<std::string> ticket_target = std::nullopt);

    /// Returns the next step.
    attempt_step next_step(instant now);

    /// Records that the requested attempt was sent to the process
    /// \a incarnation of the owner.
    void sent(std::uint64_t incarnation);

    /// Records that the requested attempt could not be sent.
    void not_sent(instant now);

    /// Records that the link closed while \a attempt was in flight.
    void link_lost(std::uint32_t attempt, instant now);

    /// Records the result of \a attempt. Returns whether the result counts,
    /// which only that of the newest attempt does.
    bool ended(std::uint32_t attempt, const stage_result& result, instant now);

    /// Whether a process may have run the request.
    bool may_have_run() const { return m_pinned_incarnation != 0; }
    std::uint32_t attempt() const { return m_attempt; }

private:
    const std::string& owner() const;
    attempt_step give_up(reason why) const;
    void schedule_retry(duration delay, instant now);

    attempt_policy m_policy;
    instant m_deadline;
    std::vector<std::string> m_owners;
    std::optional<std::string> m_ticket_target;
    std::size_t m_owner_index = 0;
    std::vector<std::string> m_renounced_by;
    /// Incarnation of the process that may have run the request, or 0.
    std::uint64_t m_pinned_incarnation = 0;
    std::uint32_t m_attempt = 0;
    std::uint32_t m_resyncs = 0;
    bool m_is_in_flight = false;
    instant m_earliest_send{};
    std::optional<stage_result> m_last_result;
    std::optional<stage_result> m_final_result;
};

} // namespace mangofold::decision
