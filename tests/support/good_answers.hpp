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
inline scripted_target::response good(const std::string& request, std::size_t)
{
    const std::size_t at = request.find("Id: ") + 4;
    const std::string id = request.substr(at, request.find('\r', at) - at);
    return {answer(id, "whole"),
            scripted_target::response::connection_action::keep};
}

} // namespace mangofold::test
