#pragma once

#include "decision/time.hpp"

#include <cstdint>

namespace mangofold::decision
{

/// Bounds of the attempts at one stage.
struct attempt_policy
{
    std::uint32_t max_attempts = 4;      ///< Sendings that may have run.
    std::uint32_t max_busy_refusals = 2; ///< Targets without room asked.
    std::uint32_t max_resyncs = 12;      ///< Refusals for being out of step.
    duration resync_wait = std::chrono::milliseconds(10);
    duration backoff_floor = std::chrono::milliseconds(5);
    duration backoff_ceiling = std::chrono::milliseconds(100);

    friend bool operator==(const attempt_policy&,
                           const attempt_policy&) = default;
};

} // namespace mangofold::decision
