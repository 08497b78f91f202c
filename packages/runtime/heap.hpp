#pragma once

namespace mangofold::runtime
{

/// Has the memory of each large block returned to the system when it is freed,
/// and that at the end of the heap soon after. Call it before other threads
/// start. Source: mallopt(3).
void return_freed_memory();

} // namespace mangofold::runtime
