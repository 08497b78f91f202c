#pragma once

#include "decision/reason.hpp"
#include "decision/target_load.hpp"
#include "decision/time.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace mangofold::decision
{

/// The state of one target, as known to an entry.
struct target_view
{
    using counts = std::array<std::uint32_t, work_class_count>;

    std::string id;
    std::string zone;
    bool is_linked = false; ///< A link with a valid grant is open.
    bool is_leaving = false;
    target_load load_report;      ///< The last report.
    counts in_flight{};           ///< Attempts of this entry, by class.
    counts in_flight_at_report{}; ///< in_flight at the last report.
    std::uint32_t consecutive_failures = 0;
    instant ejected_until{}; ///< Out of rotation until then.
    bool is_probing = false; ///< A probe attempt is in flight.
    instant linked_at{};

    /// Returns the change since the last report in the number of attempts that
    /// this entry has in flight, of class \a priority or more urgent.
    double attempts_since_report(work_class priority) const;

    /// Returns the expected latency of new work of class \a priority at the
    /// target, in nanoseconds.
    double expected_latency_ns(work_class priority) const;
};

inline double target_view::attempts_since_report(work_class priority) const
{
    double unreported = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(priority);
         ++index)
    {
        unreported += in_flight[index];
        unreported -= in_flight_at_report[index];
    }
    return unreported;
}

inline double target_view::expected_latency_ns(work_class priority) const
{
    constexpr double default_service_ns = 1e6;
    const double service_ns =
        load_report.service_time > duration::zero()
            ? static_cast<double>(load_report.service_time.count())
            : default_service_ns;
    const double limit = load_report.limit > 0 ? load_report.limit : 1;
    const auto reported_ns = static_cast<double>(
        load_report.expected_latency.at(static_cast<std::size_t>(priority))
            .count());
    const double unreported = attempts_since_report(priority);
    const double busy = load_report.running + unreported;
    // Below its limit, a target starts new work at once. The share of slots in
    // use is still added, so that the less loaded of two such targets wins.
    const double queue_rounds = std::max(busy + 1 - limit, 0.0) / limit;
    const double unreported_rounds =
        std::min(std::max(unreported, 0.0) / limit, queue_rounds);
    return std::max(reported_ns, service_ns) +
           service_ns * (unreported_rounds + 0.1 * std::max(busy, 0.0) / limit);
}

} // namespace mangofold::decision
