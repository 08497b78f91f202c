#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mangofold::decision
{

/// A set of names in 64 bits. It never misses a name that it holds, and may
/// take one name for another. Entries can join their sets in any order.
class name_set
{
public:
    name_set() = default;
    explicit name_set(std::uint64_t bits) : m_bits(bits) {}

    /// Returns the set that holds only \a name; an empty set for an empty name.
    static name_set of(std::string_view name);

    bool is_empty() const { return m_bits == 0; }

    /// Whether the set holds all names of \a other.
    bool contains(name_set other) const
    {
        return (other.m_bits & ~m_bits) == 0;
    }

    /// Returns the lowest number of names that the set can hold.
    std::size_t min_size() const
    {
        return static_cast<std::size_t>(std::popcount(m_bits));
    }

    name_set joined(name_set other) const
    {
        return name_set(m_bits | other.m_bits);
    }

    std::uint64_t bits() const { return m_bits; }

    friend bool operator==(const name_set&, const name_set&) = default;

private:
    std::uint64_t m_bits = 0;
};

} // namespace mangofold::decision
