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

/// Why a record in the list of targets can't be used.
enum class record_fault : std::uint8_t
{
    none,
    bytes,  ///< Not parsable.
    fields, ///< Missing, or of the wrong type.
    state,  ///< Unknown.
    address ///< Invalid.
};

std::string_view to_string(record_fault value);

/// One record of the source, or a change of one.
struct source_change
{
    enum class record_kind : std::uint8_t
    {
        catalog,
        target,
        target_removed,
        target_unreadable, ///< Only the id is valid; see fault.
        zone,              ///< Evacuated or returned to service.
        other
    };

    record_kind kind = record_kind::other;
    std::uint64_t revision = 0;
    std::string catalog; ///< Serialized.
    decision::listed_target target;
    decision::zone_state zone;
    record_fault fault = record_fault::none;

    friend bool operator==(const source_change&,
                           const source_change&) = default;
};

/// A part of the source's content, or of the changes in it.
struct source_page
{
    std::vector<source_change> changes;
    bool has_more = false;         ///< Whether more pages follow.
    std::string last_key;          ///< Where the next page continues.
    std::uint64_t revision = 0;    ///< Of the source at the time of the answer.
    std::size_t skipped_items = 0; ///< That name nothing.

    friend bool operator==(const source_page&, const source_page&) = default;
};

/// Translates requests and answers of the source, the store in which
/// configuration and targets are published. Implementations only convert names
/// and formats and make no decisions.
class source_dialect
{
public:
    virtual ~source_dialect() = default;

    /// Returns the request for the page of declarations by operators that
    /// follows the key \a after: the catalog and the evacuated zones.
    virtual http_request
    declarations_request(const std::string& after) const = 0;
    /// Returns the content of an answer with declarations. Throws
    /// invalid_message.
    virtual source_page parse_declarations(std::string_view body) const = 0;

    /// Returns the request for the page of the target list that follows the key
    /// \a after.
    virtual http_request targets_request(const std::string& after) const = 0;
    /// Returns the content of an answer with targets. Throws invalid_message.
    virtual source_page parse_targets(std::string_view body) const = 0;

    /// Returns the request that waits for changes after \a revision for up to
    /// \a timeout.
    virtual http_request watch_request(std::uint64_t revision,
                                       duration timeout) const = 0;
    /// Returns the content of an answer to a watch. Throws invalid_message.
    virtual source_page parse_changes(std::string_view body) const = 0;

    /// Returns the catalog that \a text serializes. Throws invalid_message.
    virtual catalog::document parse_catalog(std::string_view text) const = 0;
};

} // namespace mangofold::serving
