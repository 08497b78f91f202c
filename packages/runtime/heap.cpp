#include "runtime/heap.hpp"

#include <malloc.h>

namespace mangofold::runtime
{

namespace
{

/// Blocks of this length or more, in bytes, are mapped each by itself.
constexpr int mapped_block_bytes = 256 << 10;

/// Free memory that is kept at the end of the heap, in bytes. Less would have
/// the heap shrink and grow with each body.
constexpr int kept_bytes = 8 << 20;

} // namespace

// By default, once a mapped block of up to 32 MB has been freed, all blocks of
// up to its length come from the heap. Bodies of different lengths then leave
// gaps that others do not fit, and the process holds far more memory than its
// bodies take.
void return_freed_memory()
{
    mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    mallopt(M_TRIM_THRESHOLD, kept_bytes);
}

} // namespace mangofold::runtime
