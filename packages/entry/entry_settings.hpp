#pragma once

#include "runtime/address.hpp"
#include "runtime/settings.hpp"

#include <string>
#include <vector>

namespace mangofold::entry
{

/// The validated settings of an entry.
struct entry_settings
{
    std::string id;
    std::string zone;
    runtime::address listen;
    runtime::address admin;
    runtime::address platform;
    std::vector<runtime::address> seeds;
    unsigned http_threads = 512;
    unsigned max_in_progress = 448;
    unsigned max_body_bytes = 1U << 20U;
    unsigned links_per_pool = 32;
    unsigned drain_ms = 30'000;
    std::string log_level;

    friend bool operator==(const entry_settings&,
                           const entry_settings&) = default;
};

/// Adds the command-line flags of an entry to \a flags.
void add_flags(runtime::settings& flags);

/// Returns the settings in \a flags. Throws runtime::settings_error if a value
/// is missing or out of range.
entry_settings checked_settings(const runtime::settings& flags);

} // namespace mangofold::entry
