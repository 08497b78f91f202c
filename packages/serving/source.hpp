#pragma once

#include "catalog/catalog.hpp"
#include "decision/target_directory.hpp"
#include "decision/zone_evacuations.hpp"
#include "serving/http.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace mangofold::serving
{

/// Why an entry of the source names no target to use.
enum class entry_fault : std::uint8_t
{
    none,
    bytes,  ///< They cannot be read at all.
    fields, ///< Some are missing or of another type.
    state,  ///< One that is not known.
    address
};

std::string_view to_string(entry_fault value);

/// One change that the source reported.
struct source_change
{
    enum class kind : std::uint8_t
    {
        catalog,
        target,
        target_removed,
        target_unreadable, ///< Only the id is known; see fault.
        zone,              ///< Evacuated, or taken back.
        other
    };

    kind what = kind::other;
    std::uint64_t revision = 0;
    std::string catalog; ///< As it was written.
    decision::listed_target target;
    decision::zone_word zone;
    entry_fault fault = entry_fault::none;

    friend bool operator==(const source_change&,
                           const source_change&) = default;
};

/// A part of what the source holds, or what changed in it.
struct source_page
{
    std::vector<source_change> changes;
    bool has_more = false;
    std::string last_key;
    std::uint64_t revision = 0; ///< Of the source, when it answered.

    friend bool operator==(const source_page&, const source_page&) = default;
};

/// The names and formats of the place where configuration and targets are
/// published. It translates and decides nothing.
class source_dialect
{
public:
    virtual ~source_dialect() = default;

    /// Returns the call that reads what operators declare behind \a after:
    /// the catalog and the evacuated zones.
    virtual http_request read_declarations(const std::string& after) const = 0;
    virtual source_page declarations_page(std::string_view body) const = 0;

    /// Returns the call that reads the list of targets behind \a after.
    virtual http_request read_targets(const std::string& after) const = 0;
    virtual source_page targets_page(std::string_view body) const = 0;

    /// Returns the call that waits for changes after \a revision.
    virtual http_request watch(std::uint64_t revision, duration most) const = 0;
    virtual source_page changes_page(std::string_view body) const = 0;

    /// Returns the catalog in what was written. Throws invalid_message.
    virtual catalog::document parse_catalog(std::string_view text) const = 0;
};

} // namespace mangofold::serving
