#pragma once

#include "decision/reason.hpp"
#include "decision/time.hpp"

#include <array>
#include <cstdint>

namespace mangofold::decision
{

/// What a sidecar reports of its target.
struct target_load
{
    std::uint32_t running = 0;
    /// Waiting work of each class, most urgent first.
    std::array<std::uint32_t, work_class_count> queued{};
    std::uint32_t limit = 1;
    duration service{}; ///< Moving average of a run.
    /// From arrival to end of new work of each class.
    std::array<duration, work_class_count> expected{};

    friend bool operator==(const target_load&, const target_load&) = default;
};

} // namespace mangofold::decision
