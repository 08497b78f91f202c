#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mangofold::decision
{

/// Returns a number that mixes \a matter and \a candidate. The same on every
/// process, so that all that see the same candidates choose alike.
inline std::uint64_t election_rank(std::string_view matter,
                                   std::string_view candidate)
{
    constexpr std::uint64_t offset = 0xcbf29ce484222325ULL; // FNV-1a
    constexpr std::uint64_t prime = 0x100000001b3ULL;
    std::uint64_t hash = offset;
    for (const std::string_view part : {matter, candidate})
        for (const char one : part)
            hash = (hash ^ static_cast<unsigned char>(one)) * prime;
    // FNV's last bytes mix little; one more round spreads them.
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31U);
}

/// Returns the one among \a candidates that has the highest rank for
/// \a matter; only its loss moves the matter elsewhere. There must be one.
inline const std::string& elected(std::string_view matter,
                                  const std::vector<std::string>& candidates)
{
    const std::string* best = &candidates.front();
    for (const std::string& one : candidates)
        if (election_rank(matter, one) > election_rank(matter, *best))
            best = &one;
    return *best;
}

} // namespace mangofold::decision
