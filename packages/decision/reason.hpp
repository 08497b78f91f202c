#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mangofold::decision
{

/// Why a submission, or a whole request, did not end with an answer.
enum class reason : std::uint8_t
{
    none,
    // Said by a sidecar before anything ran.
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
    // Said by a sidecar that cannot know whether an earlier sending ran.
    owner_restarted,
    ownership_moved,
    incarnation_changed,
    ticket_of_other_incarnation,
    outcome_forgotten,
    // Said by a sidecar after the target was called.
    target_failed,
    target_timeout,
    misdelivered,
    cancelled,
    // Said by an entry.
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
    quarantined, ///< Targets ended under it, see quarantine.
    count
};

constexpr std::size_t reason_count = static_cast<std::size_t>(reason::count);

/// Returns the name used in replies, metrics and logs.
std::string_view to_string(reason value);

/// Whether a sidecar, not an entry, gives \a value as a reason.
constexpr bool is_said_by_sidecar(reason value)
{
    return value < reason::link_lost;
}

/// How one stage, or one sending of it, ended.
enum class stage_status : std::uint8_t
{
    done,    ///< The target answered.
    refused, ///< Nothing ran, and nothing will.
    failed,  ///< The target was called and did not answer well.
    unknown  ///< Nobody who could know answered.
};

std::string_view to_string(stage_status value);

/// Classes of work, most urgent first.
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
