#pragma once

#include <cstdint>
#include <string_view>

namespace mangofold::decision
{

/// What marks the end of an answer.
enum class answer_framing : std::uint8_t
{
    length, ///< Its length is stated, or it has no body.
    chunks,
    connection ///< It ends with its connection.
};

constexpr std::string_view to_string(answer_framing value)
{
    switch (value)
    {
    case answer_framing::length:
        return "length";
    case answer_framing::chunks:
        return "chunks";
    default:
        return "connection";
    }
}

} // namespace mangofold::decision
