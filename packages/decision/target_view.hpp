#pragma once

#include "decision/target_load.hpp"
#include "decision/time.hpp"

#include <cstdint>
#include <string>

namespace mangofold::decision
{

/// What an entry believes of one target.
struct target_view
{
    std::string id;
    std::string zone;
    bool is_linked = false; ///< A stream with a live grant is up.
    bool is_leaving = false;
    target_load report;
    std::uint32_t in_flight = 0;           ///< Own attempts under way.
    std::uint32_t in_flight_at_report = 0; ///< The same when it reported.
    std::uint32_t failures = 0;            ///< In a row.
    instant aside_until{};                 ///< Set aside before this.
    bool is_probing = false;               ///< One attempt tries it again.
    instant linked_at{};

    /// Returns the expected runs at the target: its last report corrected by
    /// what this entry sent and got back since.
    double occupancy() const;

    /// Returns the expected time until new work would end there.
    double expected_ns() const;
};

inline double target_view::occupancy() const
{
    const double reported = report.running + report.queued;
    const double corrected = reported + in_flight - in_flight_at_report;
    return corrected > in_flight ? corrected : in_flight;
}

inline double target_view::expected_ns() const
{
    constexpr double unknown_service_ns = 1e6;
    const double service = report.service > duration::zero()
                               ? static_cast<double>(report.service.count())
                               : unknown_service_ns;
    const double limit = report.limit > 0 ? report.limit : 1;
    // Below its limit a target runs the work at once; the share of its slots
    // in use still breaks ties towards the emptier one.
    const double waiting = occupancy() + 1 - limit;
    const double rounds = waiting > 0 ? 1 + waiting / limit : 1;
    return service * (rounds + 0.1 * occupancy() / limit);
}

} // namespace mangofold::decision
