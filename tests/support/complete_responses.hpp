#pragma once

#include "support/serving_fixture.hpp"

#include <string>

namespace mangofold::test
{

/// Whether \a text contains \a part.
inline bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// Returns a complete response with the request id of \a request, and keeps the
/// connection open.
inline scripted_target::response complete_response(const std::string& request,
                                                   std::size_t)
{
    const std::size_t at = request.find("Id: ") + 4;
    const std::string id = request.substr(at, request.find('\r', at) - at);
    return {response_text(id, "whole"),
            scripted_target::response::connection_action::keep};
}

} // namespace mangofold::test
