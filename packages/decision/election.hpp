#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mangofold::decision
{

/// Returns the rendezvous hash of \a candidate for \a key. The hash is the
/// same in every process, so that processes that know the same candidates
/// elect the same one.
inline std::uint64_t election_rank(std::string_view key,
                                   std::string_view candidate)
{
    constexpr std::uint64_t offset = 0xcbf29ce484222325ULL; // FNV-1a
    constexpr std::uint64_t prime = 0x100000001b3ULL;
    std::uint64_t hash = offset;
    for (const std::string_view part : {key, candidate})
        for (const char byte : part)
            hash = (hash ^ static_cast<unsigned char>(byte)) * prime;
    // FNV-1a mixes its last bytes poorly; the splitmix64 finalizer spreads
    // them.
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31U);
}

/// Returns the candidate with the highest rank for \a key (rendezvous
/// hashing): the result changes only if that candidate is removed or one with
/// a higher rank is added. \a candidates must not be empty.
inline const std::string& elected(std::string_view key,
                                  const std::vector<std::string>& candidates)
{
    const std::string* best = &candidates.front();
    for (const std::string& candidate : candidates)
        if (election_rank(key, candidate) > election_rank(key, *best))
            best = &candidate;
    return *best;
}

} // namespace mangofold::decision
