#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace mangofold::decision
{

/// The ranks of a request, 0 being the most urgent. The account's rank takes
/// precedence over the route's.
struct urgency
{
    std::uint32_t account_rank = 0;
    std::uint32_t route_rank = 0;

    friend auto operator<=>(const urgency&, const urgency&) = default;
};

/// Returns the priority of a request for its engine, from 0, the highest, to 9.
/// Ranks that are too many to be told apart share a priority; the order is
/// never reversed.
constexpr unsigned engine_priority(const urgency& value)
{
    constexpr std::uint32_t priorities_per_account_rank = 3;
    constexpr std::uint32_t lowest_priority = 9;
    const std::uint32_t account = std::min(
        value.account_rank, lowest_priority / priorities_per_account_rank);
    const std::uint32_t route =
        std::min(value.route_rank, priorities_per_account_rank - 1);
    return std::min(account * priorities_per_account_rank + route,
                    lowest_priority);
}

} // namespace mangofold::decision
