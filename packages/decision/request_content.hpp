#pragma once

#include "decision/digest.hpp"
#include "decision/request_key.hpp"

#include <string_view>

namespace mangofold::decision
{

/// The parts of a request that are the same if a caller repeats the request
/// under another request ID or through another entry.
struct request_content
{
    std::string_view account; ///< The client account; empty if unknown.
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query.
    std::string_view body;
};

/// Returns the digest by which entries recognize a repeated request.
digest digest_of(const request_content& content);

/// Returns the content digest of one stage of a request; \a request is the
/// content digest of the request.
digest stage_content_digest(const request_key& key, const digest& request);

} // namespace mangofold::decision
