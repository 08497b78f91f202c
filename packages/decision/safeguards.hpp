#pragma once

#include <concepts>

namespace mangofold::decision
{

/// Says which safeguards of a target's gate are in place. The product has
/// all of them; tests take out one at a time to see the failure it prevents.
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
