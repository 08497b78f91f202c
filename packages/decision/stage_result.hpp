#pragma once

#include "decision/reason.hpp"
#include "decision/time.hpp"

#include <compare>
#include <string>

namespace mangofold::decision
{

/// What a sidecar says of one submission.
struct stage_result
{
    stage_status status = stage_status::unknown;
    reason why = reason::none;
    std::string body;
    duration service{};     ///< Time that the target spent.
    duration retry_after{}; ///< Zero where coming back is of no use.
    bool is_replayed = false;

    friend bool operator==(const stage_result&, const stage_result&) = default;
};

/// Returns a refusal before anything ran.
inline stage_result refused(reason why, duration retry_after = {})
{
    return {stage_status::refused, why, {}, {}, retry_after, false};
}

/// Returns a refusal that leaves open whether an earlier sending ran.
inline stage_result unknown_outcome(reason why, duration retry_after = {})
{
    return {stage_status::unknown, why, {}, {}, retry_after, false};
}

} // namespace mangofold::decision
