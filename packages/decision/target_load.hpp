#pragma once

#include "decision/time.hpp"

#include <cstdint>

namespace mangofold::decision
{

/// What a sidecar reports of its target.
struct target_load
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 1;
    duration service{}; ///< Moving average of a run.

    friend bool operator==(const target_load&, const target_load&) = default;
};

} // namespace mangofold::decision
