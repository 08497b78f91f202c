#pragma once

#include "decision/reason.hpp"
#include "decision/time.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace mangofold::entry
{

/// How a whole request ended, as reported to the client.
enum class outcome_kind
{
    answered, ///< Completed.
    refused,  ///< No stage ran, and none will.
    failed,   ///< Some stages may have run, but none that must not be repeated.
    unknown,  ///< A stage that must not be repeated may have run.
    deadline_passed, ///< As failed, because the deadline passed.
    malformed        ///< Invalid; can never run.
};

/// Returns the name of \a value in replies and metrics.
std::string_view to_string(outcome_kind value);

/// The resources that one stage of a request used.
struct stage_cost
{
    std::string stage;
    decision::duration service_time{};
    std::uint32_t attempts = 0;

    friend bool operator==(const stage_cost&, const stage_cost&) = default;
};

/// The result of a request.
struct outcome
{
    outcome_kind kind = outcome_kind::unknown;
    decision::reason cause = decision::reason::none;
    std::string stage;   ///< The stage that ended the request, if not answered.
    std::string answer;  ///< JSON.
    std::string message; ///< Explains the reason to a person; may be empty.
    decision::duration retry_after{};
    bool is_replayed = false;
    std::vector<stage_cost> costs;

    friend bool operator==(const outcome&, const outcome&) = default;
};

} // namespace mangofold::entry
