#include "support/counted_memory.hpp"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

namespace
{

std::size_t allocated = 0;
std::size_t peak = 0;

void release(void* memory)
{
    if (memory != nullptr)
        allocated -= malloc_usable_size(memory);
    std::free(memory);
}

} // namespace

namespace mangofold::test
{

std::size_t allocated_bytes()
{
    return allocated;
}

std::size_t peak_bytes()
{
    return peak;
}

void reset_peak()
{
    peak = allocated;
}

} // namespace mangofold::test

void* operator new(std::size_t size)
{
    void* const memory = std::malloc(size);
    if (memory == nullptr)
        throw std::bad_alloc();
    allocated += malloc_usable_size(memory);
    peak = std::max(peak, allocated);
    return memory;
}

void operator delete(void* memory) noexcept
{
    release(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    release(memory);
}
