#pragma once

#include "decision/reason.hpp"
#include "decision/time.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace mangofold::entry
{

/// How a whole request ended, as the caller is told.
enum class outcome_kind
{
    answered,        ///< The whole answer.
    refused,         ///< Nothing of it ran, and nothing will.
    failed,          ///< Some of it ran; no stage that may not be repeated.
    unknown,         ///< A stage that may not be repeated may have run.
    deadline_passed, ///< Time was up; no such stage may have run.
    malformed        ///< Not a request that could ever run.
};

std::string_view to_string(outcome_kind value);

/// What one stage of a request cost.
struct stage_cost
{
    std::string stage;
    decision::duration service{};
    std::uint32_t attempts = 0;

    friend bool operator==(const stage_cost&, const stage_cost&) = default;
};

struct outcome
{
    outcome_kind kind = outcome_kind::unknown;
    decision::reason why = decision::reason::none;
    std::string stage;  ///< The stage at which it ended.
    std::string answer; ///< JSON.
    std::string text;   ///< For people, where the reason needs words.
    decision::duration retry_after{};
    bool is_replayed = false;
    std::vector<stage_cost> costs;

    friend bool operator==(const outcome&, const outcome&) = default;
};

} // namespace mangofold::entry
