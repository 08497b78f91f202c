#pragma once

#include "decision/digest.hpp"
#include "decision/time.hpp"

namespace mangofold::decision
{

/// What decides when the caller of a rejected request should return.
struct return_terms
{
    duration backlog{};     ///< Work of equal or higher urgency that waits.
    double spare_share = 1; ///< Of the capacity, after arrivals of that kind.
    duration call_time{};   ///< Of a call to the service.
    duration time_left{};   ///< Of the rejected request.
    digest content;         ///< Of the request.

    friend bool operator==(const return_terms&, const return_terms&) = default;
};

/// Returns after which time there will be capacity for a rejected request.
/// Requests that are rejected together get different times.
duration return_delay(const return_terms& terms);

} // namespace mangofold::decision
