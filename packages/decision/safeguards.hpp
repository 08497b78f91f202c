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
        Set::has_quarantine
        } -> std::convertible_to<bool>;
    {
        Set::has_moved_ownership
        } -> std::convertible_to<bool>;
    {
        Set::has_incarnation
        } -> std::convertible_to<bool>;
    {
        Set::has_generations
        } -> std::convertible_to<bool>;
    {
        Set::has_leaving
        } -> std::convertible_to<bool>;
    {
        Set::has_renouncing
        } -> std::convertible_to<bool>;
};

struct all_safeguards
{
    static constexpr bool has_grants = true;
    static constexpr bool has_ledger = true;
    static constexpr bool has_quarantine = true;
    static constexpr bool has_moved_ownership = true;
    static constexpr bool has_incarnation = true;
    static constexpr bool has_generations = true;
    static constexpr bool has_leaving = true;
    static constexpr bool has_renouncing = true;
};

} // namespace mangofold::decision
