#pragma once

#include "decision/time.hpp"

#include <cstdint>

namespace mangofold::decision
{

/// Limits on the attempts at one stage.
struct attempt_policy
{
    std::uint32_t max_attempts = 4;      ///< Attempts that may have run.
    std::uint32_t max_busy_refusals = 2; ///< Refusals for lack of capacity.
    std::uint32_t max_resyncs = 12;      ///< Other attempts that did not run.
    duration resync_delay = std::chrono::milliseconds(10);
    duration min_backoff = std::chrono::milliseconds(5);
    duration max_backoff = std::chrono::milliseconds(100);

    friend bool operator==(const attempt_policy&,
                           const attempt_policy&) = default;
};

} // namespace mangofold::decision
