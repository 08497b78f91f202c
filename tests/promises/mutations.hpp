#pragma once

#include "decision/safeguards.hpp"

namespace mangofold::promises
{

using decision::all_safeguards;

// Each type disables one safeguard. The search must then find a violation.

struct without_grants : all_safeguards
{
    static constexpr bool has_grants = false;
};

struct without_ledger : all_safeguards
{
    static constexpr bool has_ledger = false;
};

struct without_restart_quarantine : all_safeguards
{
    static constexpr bool has_restart_quarantine = false;
};

struct without_ownership_check : all_safeguards
{
    static constexpr bool has_ownership_check = false;
};

struct without_incarnation_check : all_safeguards
{
    static constexpr bool has_incarnation_check = false;
};

struct without_generation_check : all_safeguards
{
    static constexpr bool has_generation_check = false;
};

struct without_leaving_refusal : all_safeguards
{
    static constexpr bool has_leaving_refusal = false;
};

struct without_renouncing : all_safeguards
{
    static constexpr bool has_renouncing = false;
};

} // namespace mangofold::promises
