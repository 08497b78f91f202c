#pragma once

#include "decision/safeguards.hpp"

namespace mangofold::promises
{

using decision::all_safeguards;

// Each takes one safeguard out; the search must then find a broken promise.

struct without_grants : all_safeguards
{
    static constexpr bool has_grants = false;
};

struct without_ledger : all_safeguards
{
    static constexpr bool has_ledger = false;
};

struct without_quarantine : all_safeguards
{
    static constexpr bool has_quarantine = false;
};

struct without_moved_ownership : all_safeguards
{
    static constexpr bool has_moved_ownership = false;
};

struct without_incarnation : all_safeguards
{
    static constexpr bool has_incarnation = false;
};

struct without_generations : all_safeguards
{
    static constexpr bool has_generations = false;
};

struct without_leaving : all_safeguards
{
    static constexpr bool has_leaving = false;
};

struct without_renouncing : all_safeguards
{
    static constexpr bool has_renouncing = false;
};

} // namespace mangofold::promises
