#pragma once

#include "decision/digest.hpp"
#include "decision/request_key.hpp"

#include <string_view>

namespace mangofold::decision
{

/// What stays the same where a caller sends the same request again, under
/// whatever id, to whatever entry.
struct request_content
{
    std::string_view account; ///< The client account; empty where none is told.
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query.
    std::string_view body;
};

/// Returns the digest by which entries tell such requests from others.
digest digest_of(const request_content& content);

/// Returns the same for one stage of a request, of which \a request is the
/// digest of what its caller sent.
digest stage_content(const request_key& key, const digest& request);

} // namespace mangofold::decision
