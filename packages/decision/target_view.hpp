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

/// What an entry believes of one target.
struct target_view
{
    using counts = std::array<std::uint32_t, work_class_count>;

    std::string id;
    std::string zone;
    bool is_linked = false; ///< A stream with a live grant is up.
    bool is_leaving = false;
    target_load report;
    counts in_flight{};           ///< Own attempts under way, by class.
    counts in_flight_at_report{}; ///< The same when it reported.
    std::uint32_t failures = 0;   ///< In a row.
    instant aside_until{};        ///< Set aside before this.
    bool is_probing = false;      ///< One attempt tries it again.
    instant linked_at{};

    /// Returns the attempts of class \a priority, or more urgent ones, that
    /// this entry has under way beyond those that the last report counts.
    double sent_since(work_class priority) const;

    /// Returns the expected time until new work of class \a priority would
    /// end there.
    double expected_ns(work_class priority) const;
};

inline double target_view::sent_since(work_class priority) const
{
    double since = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(priority);
         ++index)
    {
        since += in_flight[index];
        since -= in_flight_at_report[index];
    }
    return since;
}

inline double target_view::expected_ns(work_class priority) const
{
    constexpr double unknown_service_ns = 1e6;
    const double service = report.service > duration::zero()
                               ? static_cast<double>(report.service.count())
                               : unknown_service_ns;
    const double limit = report.limit > 0 ? report.limit : 1;
    const auto reported = static_cast<double>(
        report.expected.at(static_cast<std::size_t>(priority)).count());
    const double since = sent_since(priority);
    const double busy = report.running + since;
    // Below its limit a target runs the work at once; the share of its slots
    // in use still breaks ties towards the emptier one.
    const double rounds = std::max(busy + 1 - limit, 0.0) / limit;
    const double queued = std::min(std::max(since, 0.0) / limit, rounds);
    return std::max(reported, service) +
           service * (queued + 0.1 * std::max(busy, 0.0) / limit);
}

} // namespace mangofold::decision
