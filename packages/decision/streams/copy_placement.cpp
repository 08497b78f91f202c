#include "decision/streams/copy_placement.hpp"

#include "decision/election.hpp"

#include <algorithm>
#include <functional>

namespace mangofold::decision
{

namespace
{

/// The finalizer of splitmix64.
std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

bool copy_placement::set_entries(std::vector<std::string> addresses)
{
    if (addresses == m_addresses)
        return false;
    m_addresses = std::move(addresses);
    m_hashes.clear();
    m_hashes.reserve(m_addresses.size());
    for (const std::string& address : m_addresses)
        m_hashes.push_back(election_rank({}, address));
    return true;
}

std::vector<std::string> copy_placement::holders(const stream_key& key,
                                                 std::size_t count) const
{
    using ranked_entry = std::pair<std::uint64_t, std::size_t>;
    std::vector<ranked_entry> first; // Highest rank first.
    for (std::size_t index = 0; index < m_hashes.size(); ++index)
    {
        const ranked_entry entry{mixed(key.low ^ m_hashes[index]), index};
        if (first.size() == count && entry <= first.back())
            continue;
        if (first.size() == count)
            first.pop_back();
        first.insert(
            std::upper_bound(first.begin(), first.end(), entry, std::greater()),
            entry);
    }
    std::vector<std::string> addresses;
    addresses.reserve(first.size());
    for (const auto& [rank, index] : first)
        addresses.push_back(m_addresses[index]);
    return addresses;
}

} // namespace mangofold::decision
