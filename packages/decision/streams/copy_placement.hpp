#pragma once

#include "decision/streams/stream_origin.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace mangofold::decision
{

/// Chooses the entries that keep copies of a record, by rendezvous hashing:
/// entries that know the same others choose the same ones, and when an entry
/// joins or leaves, only the records that it keeps move.
class copy_placement
{
public:
    /// Sets the entries to choose from. Returns whether they have changed.
    bool set_entries(std::vector<std::string> addresses);

    /// Returns the \a count entries that come first for \a key, or all if they
    /// are fewer.
    std::vector<std::string> holders(const stream_key& key,
                                     std::size_t count) const;

private:
    std::vector<std::string> m_addresses;
    /// By index of the address. Hashing the addresses once keeps the choice
    /// cheap in a fleet of a thousand entries.
    std::vector<std::uint64_t> m_hashes;
};

} // namespace mangofold::decision
