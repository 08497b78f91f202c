#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mangofold::decision
{

/// A 128-bit hash that identifies a key or a body.
struct digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const digest&, const digest&) = default;
};

/// Returns the digest of \a bytes.
digest digest_of(std::string_view bytes);

/// Returns the digest of two parts. Another split of the same bytes has another
/// digest.
digest digest_of(std::string_view first, std::string_view second);

/// Returns \a value as 32 hexadecimal digits.
std::string to_text(const digest& value);

struct digest_hash
{
    std::size_t operator()(const digest& value) const { return value.low; }
};

} // namespace mangofold::decision
