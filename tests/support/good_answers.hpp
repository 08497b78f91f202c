#pragma once

#include "support/serving_fixture.hpp"

#include <string>

namespace mangofold::test
{

inline bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// Answers every request in order.
inline scripted_target::reaction good(const std::string& request, std::size_t)
{
    const std::size_t at = request.find("Id: ") + 4;
    const std::string id = request.substr(at, request.find('\r', at) - at);
    return {response_text(id, "whole"), scripted_target::reaction::end::keep};
}

} // namespace mangofold::test
