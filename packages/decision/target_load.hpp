#pragma once

#include "decision/reason.hpp"
#include "decision/time.hpp"

#include <array>
#include <cstdint>

namespace mangofold::decision
{

/// The load of a target, as reported by its sidecar.
struct target_load
{
    std::uint32_t running = 0;
    /// Queue length of each class, most urgent first.
    std::array<std::uint32_t, work_class_count> queued{};
    std::uint32_t limit = 1; ///< Runs that the target may have at once.
    duration service_time{}; ///< Moving average of the service time.
    /// Expected latency of new work of each class, from arrival to end.
    std::array<duration, work_class_count> expected_latency{};

    friend bool operator==(const target_load&, const target_load&) = default;
};

} // namespace mangofold::decision
