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

/// Step: send the next attempt to \a target, or where that is empty, to a
/// target of the router's choice.
struct send_attempt
{
    std::uint32_t attempt = 0;
    std::string target;
    /// Targets that failed or refused an earlier attempt.
    std::vector<std::string> avoided_targets;
    /// The only process of the target that may run the attempt; 0 for any.
    std::uint64_t pinned_incarnation = 0;
    /// Earlier owners that refused the request for good.
    std::vector<std::string> renounced_by;
    bool uses_ticket = false;

    friend bool operator==(const send_attempt&, const send_attempt&) = default;
};

/// Step: wait for an event, at most until the given instant.
struct wait_until
{
    instant until{};

    friend bool operator==(const wait_until&, const wait_until&) = default;
};

/// Step: end the stage with a result.
struct finish_stage
{
    stage_result result;

    friend bool operator==(const finish_stage&, const finish_stage&) = default;
};

using attempt_step = std::variant<send_attempt, wait_until, finish_stage>;

/// Whether \a why is a refusal because entry and target are out of sync (an
/// expired grant, another generation of the manifest, a target that is not
/// ready yet), so that the same target can be retried after a short delay.
constexpr bool is_out_of_sync(reason why)
{
    return why == reason::grant_lapsed || why == reason::generation_behind ||
           why == reason::generation_ahead || why == reason::not_ready;
}

} // namespace mangofold::decision
