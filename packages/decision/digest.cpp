#include "decision/digest.hpp"

#include <cstdio>
#include <string>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace mangofold::decision
{

digest digest_of(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return {hash.high64, hash.low64};
}

digest digest_of(std::string_view first, std::string_view second)
{
    std::string joined = std::to_string(first.size());
    joined += ':';
    joined += first;
    joined += second;
    return digest_of(joined);
}

std::string to_text(const digest& value)
{
    constexpr std::size_t digits = 32;
    char text[digits + 1];
    std::snprintf(text, sizeof text, "%016llx%016llx",
                  static_cast<unsigned long long>(value.high),
                  static_cast<unsigned long long>(value.low));
    return {text, digits};
}

} // namespace mangofold::decision
