#include "decision/digest.hpp"

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

} // namespace mangofold::decision
