#pragma once

#include "decision/digest.hpp"

#include <compare>
#include <string>
#include <string_view>

namespace mangofold::decision
{

/// Where a stream began. Only targets of the same service and software version
/// may continue it: what two versions generate does not fit together.
struct stream_origin
{
    std::string service;
    std::string version; ///< Of the target's software; empty if unknown.

    friend auto operator<=>(const stream_origin&,
                            const stream_origin&) = default;
};

/// Identifies a stream among all entries.
using stream_key = digest;

/// Returns the key of the stream whose first event was the answer to the
/// request \a request_id of \a account. A request of another account or to
/// another path has another key, so it finds nothing.
stream_key make_stream_key(std::string_view account, std::string_view host,
                           std::string_view path, std::string_view request_id);

} // namespace mangofold::decision
