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
    static constexpr bool has_grants = true;
    static constexpr bool has_ledger = true;
    static constexpr bool has_restart_quarantine = true;
    static constexpr bool has_ownership_check = true;
    static constexpr bool has_incarnation_check = true;
    static constexpr bool has_generation_check = true;
    static constexpr bool has_leaving_refusal = true;
    static constexpr bool has_renouncing = true;
};

} // namespace mangofold::decision
