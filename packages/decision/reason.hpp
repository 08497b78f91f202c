#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mangofold::decision
{

/// The reason that a submission, or a whole request, has no answer.
enum class reason : std::uint8_t
{
    none,
    // Given by a sidecar if nothing ran.
    grant_lapsed,
    generation_behind,
    generation_ahead,
    target_leaving,
    queue_full,
    too_late,
    ledger_full,
    request_reused,
    ticket_expired,
    not_ready,
    target_down,
    // Given by a sidecar that cannot know whether an earlier submission of
    // the request ran.
    owner_restarted,
    ownership_moved,
    incarnation_changed,
    ticket_of_other_incarnation,
    outcome_forgotten,
    // Given by a sidecar after it called the target.
    target_failed,
    target_timeout,
    misdelivered,
    cancelled,
    // Given by an entry.
    link_lost,
    no_target,
    deadline_passed,
    attempts_spent,
    retry_budget_spent,
    entry_draining,
    entry_busy,
    account_limit,
    unknown_pipeline,
    unknown_account,
    bad_request,
    quarantined, ///< Targets ended while running it, see quarantine.
    count
};

constexpr std::size_t reason_count = static_cast<std::size_t>(reason::count);

/// Returns the name of \a value in replies, metrics and logs.
std::string_view to_string(reason value);

/// Whether a sidecar, not an entry, reports \a value.
constexpr bool is_reported_by_sidecar(reason value)
{
    return value < reason::link_lost;
}

/// The outcome of a stage, or of one submission of a stage.
enum class stage_status : std::uint8_t
{
    done,    ///< The target answered.
    refused, ///< The submission did not run and never will.
    failed,  ///< The target was called and returned no usable answer.
    unknown  ///< The stage may or may not have run.
};

std::string_view to_string(stage_status value);

/// Priority classes of work, most urgent first.
enum class work_class : std::uint8_t
{
    urgent,
    standard,
    bulk,
    count
};

constexpr std::size_t work_class_count =
    static_cast<std::size_t>(work_class::count);

std::string_view to_string(work_class value);

} // namespace mangofold::decision
