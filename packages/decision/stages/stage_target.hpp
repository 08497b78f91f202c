#pragma once

#include "decision/stages/target_pace.hpp"
#include "decision/target_incarnation.hpp"
#include "decision/time.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace mangofold::decision
{

/// A target with at least this slowdown is used only if waiting for another
/// target takes longer.
inline constexpr double slow_threshold = 1.5;

/// The planner's estimate of the load, speed and stored results of one target
/// of a stage service.
struct stage_target
{
    target_incarnation incarnation;
    std::string zone;
    std::uint32_t calls_in_progress = 0; ///< Calls of this planner only.
    instant free_at{};                   ///< When they are expected to end.
    /// Number of the call that waits behind the current one; 0 for none.
    std::uint64_t call_ahead = 0;
    duration time_of_call_ahead{}; ///< Expected, from its start.
    /// Number of the call that waited behind one that was lost.
    std::uint64_t unstarted_call = 0;
    instant no_calls_ahead_until{};
    double slowdown = 1; ///< Measured call duration over the nominal one.
    target_pace pace;    ///< As stated by the target, and learned.
    instant last_call_ended_at{};
    std::uint32_t consecutive_failures = 0;
    instant backoff_until{};          ///< Gets no calls before this time.
    instant next_call_at{};           ///< Earliest time that its limit allows.
    duration min_call_interval{};     ///< Between calls, for its limit.
    std::uint64_t reserved_bytes = 0; ///< For results of calls in progress.
    struct stored_result
    {
        std::uint64_t bytes = 0;
        instant expires_at{}; ///< When the target drops the result.
    };
    std::map<std::string, stored_result> stored; ///< By handle.
    std::uint64_t stored_bytes = 0;
    /// Results of other entries, as of \a others_known_at.
    std::uint64_t others_bytes = 0;
    instant others_known_at{};
    instant others_expire_at{}; ///< All of them, at the latest.

    /// Returns until when the target gets no calls.
    instant unavailable_until() const
    {
        return std::max(backoff_until, next_call_at);
    }
    /// Records that the current call ended or was lost at \a now: the call
    /// behind it, if any, is the current one.
    void end_current_call(instant now, bool is_lost);
    /// Forgets the results that the target has dropped by \a now.
    void drop_expired(instant now);
    void store(const std::string& handle, std::uint64_t bytes,
               instant expires_at);
    void release(const std::string& handle);
    /// Records that a result did not fit the target's memory of \a capacity,
    /// where results are kept for \a lifetime.
    void note_full(std::uint64_t capacity, duration lifetime, instant now);
    /// Returns the memory that is in use at \a now.
    std::uint64_t used_bytes(instant now) const;
};

} // namespace mangofold::decision
