#pragma once

#include <concepts>

namespace mangofold::decision
{

/// Selects the safeguards that a target_gate applies. Production code applies
/// all of them; tests disable one at a time to show the failure that the
/// safeguard prevents.
template<typename Set>
concept safeguard_set = requires
{
    {
        Set::has_grants
        } -> std::convertible_to<bool>;
    {
        Set::has_ledger
        } -> std::convertible_to<bool>;
    {
        Set::has_restart_quarantine
        } -> std::convertible_to<bool>;
    {
        Set::has_ownership_check
        } -> std::convertible_to<bool>;
    {
        Set::has_incarnation_check
        } -> std::convertible_to<bool>;
    {
        Set::has_generation_check
        } -> std::convertible_to<bool>;
    {
        Set::has_leaving_refusal
        } -> std::convertible_to<bool>;
    {
        Set::has_renouncing
        } -> std::convertible_to<bool>;
};

struct all_safeguards
{
    /// Refuses work without a valid grant.
    static constexpr bool has_grants = true;
    /// Answers resends from the execution ledger.
    static constexpr bool has_ledger = true;
    /// After a start, refuses requests without a ticket until no caller
    /// resends requests of an earlier process.
    static constexpr bool has_restart_quarantine = true;
    /// Refuses requests without a ticket if another target owns the key or
    /// owned the key recently.
    static constexpr bool has_ownership_check = true;
    /// Refuses work and tickets that belong to another process.
    static constexpr bool has_incarnation_check = true;
    /// Refuses work of another manifest generation.
    static constexpr bool has_generation_check = true;
    /// Refuses new and queued work while the target is leaving.
    static constexpr bool has_leaving_refusal = true;
    /// Records that new work refused while leaving will never run here.
    static constexpr bool has_renouncing = true;
};

} // namespace mangofold::decision
