#pragma once

#include <chrono>

namespace mangofold::decision
{

/// Clock type of all decisions. The clock continues while the process is
/// suspended. Its times have no meaning in another process.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};

using duration = boot_clock::duration;
using instant = boot_clock::time_point;

} // namespace mangofold::decision
