#pragma once

#include "decision/stage_result.hpp"
#include "decision/time.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mangofold::decision
{

/// Step: send the next attempt. An empty target leaves the choice to the
/// router.
struct send_attempt
{
    std::uint32_t attempt = 0;
    std::string target;
    std::vector<std::string> avoid;
    std::uint64_t pinned_incarnation = 0;
    std::vector<std::string> renounced_by;
    bool uses_ticket = false;

    friend bool operator==(const send_attempt&, const send_attempt&) = default;
};

/// Step: nothing to do until an event or the given instant.
struct wait_until
{
    instant until{};

    friend bool operator==(const wait_until&, const wait_until&) = default;
};

/// Step: the stage ended.
struct finish_stage
{
    stage_result result;

    friend bool operator==(const finish_stage&, const finish_stage&) = default;
};

using attempt_step = std::variant<send_attempt, wait_until, finish_stage>;

/// Whether a refusal says that the entry, not the target, was behind, so
/// that the same target may be asked again at once.
constexpr bool is_out_of_step(reason why)
{
    return why == reason::grant_lapsed || why == reason::generation_behind ||
           why == reason::generation_ahead || why == reason::not_ready;
}

} // namespace mangofold::decision
