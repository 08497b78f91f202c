#pragma once

#include <cstdint>
#include <optional>

namespace mangofold::decision
{

/// What a target states about its load in a response.
struct target_load_report
{
    std::uint32_t running = 0; ///< Requests or calls in execution.
    std::uint32_t waiting = 0; ///< Those that wait for a slot.
    std::uint32_t slots = 0;   ///< Executed concurrently at most.
    /// How long work takes on the target's machine at this moment, relative to
    /// the usual time.
    std::optional<double> pace;

    friend bool operator==(const target_load_report&,
                           const target_load_report&) = default;
};

/// Whether a target can be in the state that \a report describes.
inline bool is_plausible(const target_load_report& report)
{
    // Far above the requests that one target executes, some hundreds.
    constexpr std::uint32_t max_count = 10000;
    // A machine that works ten times as fast as usual or twenty times as slow
    // is more probably one whose statement is wrong.
    constexpr double min_pace = 0.1;
    constexpr double max_pace = 20;
    return report.running <= max_count && report.waiting <= max_count &&
           report.slots >= 1 && report.slots <= max_count &&
           (!report.pace ||
            (*report.pace >= min_pace && *report.pace <= max_pace));
}

} // namespace mangofold::decision
