#pragma once

#include "runtime/address.hpp"
#include "runtime/settings.hpp"

#include <string>

namespace mangofold::sidecar
{

/// The validated settings of a sidecar.
struct sidecar_settings
{
    std::string target_id;
    std::string zone;
    runtime::address listen;
    runtime::address admin;
    runtime::address target;
    runtime::address platform;
    unsigned target_threads = 16;
    unsigned grant_interval_ms = 800;
    unsigned poll_interval_ms = 60'000;
    unsigned ledger_keys = 100'000;
    unsigned ledger_bytes = 4U << 20U;
    unsigned drain_ms = 30'000;
    std::string log_level;

    friend bool operator==(const sidecar_settings&,
                           const sidecar_settings&) = default;
};

/// Declares the command-line flags of a sidecar in \a flags.
void add_flags(runtime::settings& flags);

/// Returns the settings in \a flags. Throws runtime::settings_error if one is
/// missing or out of bounds.
sidecar_settings checked_settings(const runtime::settings& flags);

} // namespace mangofold::sidecar
