#pragma once

#include <cstddef>

namespace mangofold::decision
{

/// The index of a member in a group that all entries order in the same way,
/// such as this entry among the live entries.
struct ordinal
{
    std::size_t index = 0;
    std::size_t count = 1; ///< Of the members.

    friend bool operator==(const ordinal&, const ordinal&) = default;
};

} // namespace mangofold::decision
