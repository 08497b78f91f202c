#pragma once

#include "decision/reason.hpp"
#include "decision/time.hpp"

#include <compare>
#include <string>

namespace mangofold::decision
{

/// The outcome of one submission, as a sidecar reports it.
struct stage_result
{
    stage_status status = stage_status::unknown;
    reason cause = reason::none;
    std::string body;
    duration service_time{}; ///< Time that the target took.
    duration retry_after{};  ///< Zero if a retry cannot help.
    bool is_replayed = false;

    friend bool operator==(const stage_result&, const stage_result&) = default;
};

/// Returns the result of a submission that did not run and never will.
inline stage_result refused(reason cause, duration retry_after = {})
{
    return {stage_status::refused, cause, {}, {}, retry_after, false};
}

/// Returns the result of a submission whose request may already have run.
inline stage_result unknown_outcome(reason cause, duration retry_after = {})
{
    return {stage_status::unknown, cause, {}, {}, retry_after, false};
}

} // namespace mangofold::decision
