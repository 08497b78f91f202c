#pragma once

#include <compare>
#include <cstdint>

namespace mangofold::decision
{

/// How urgent a request is: the ranks of its account and its route, 0 is the
/// most urgent. The account's rank takes precedence.
struct urgency
{
    std::uint32_t account = 0;
    std::uint32_t route = 0;

    friend auto operator<=>(const urgency&, const urgency&) = default;
};

} // namespace mangofold::decision
