#include "decision/reason.hpp"

#include <array>

namespace mangofold::decision
{

namespace
{

constexpr std::array<std::string_view, reason_count> reason_names{
    "none",
    "grant_lapsed",
    "generation_behind",
    "generation_ahead",
    "target_leaving",
    "queue_full",
    "too_late",
    "ledger_full",
    "request_reused",
    "ticket_expired",
    "not_ready",
    "target_down",
    "owner_restarted",
    "ownership_moved",
    "incarnation_changed",
    "ticket_of_other_incarnation",
    "outcome_forgotten",
    "target_failed",
    "target_timeout",
    "misdelivered",
    "cancelled",
    "link_lost",
    "no_target",
    "deadline_passed",
    "attempts_spent",
    "retry_budget_spent",
    "entry_draining",
    "entry_busy",
    "account_limit",
    "unknown_pipeline",
    "unknown_account",
    "bad_request",
    "quarantined",
};

constexpr std::array<std::string_view, 4> status_names{"done", "refused",
                                                       "failed", "unknown"};

constexpr std::array<std::string_view, work_class_count> class_names{
    "urgent", "standard", "bulk"};

} // namespace

std::string_view to_string(reason value)
{
    return reason_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(stage_status value)
{
    return status_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(work_class value)
{
    return class_names.at(static_cast<std::size_t>(value));
}

} // namespace mangofold::decision
