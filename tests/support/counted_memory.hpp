#pragma once

#include <cstddef>

namespace mangofold::test
{

/// Returns the bytes that operator new has allocated and that were not released
/// yet. Needs counted_memory.cpp in the program.
std::size_t allocated_bytes();

/// Returns the largest value of allocated_bytes() since reset_peak().
std::size_t peak_bytes();

void reset_peak();

} // namespace mangofold::test
