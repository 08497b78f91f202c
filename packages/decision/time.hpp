#pragma once

#include <chrono>

namespace mangofold::decision
{

/// The time base of every decision: it runs on while a process is
/// suspended, and it says nothing about any other process.
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
