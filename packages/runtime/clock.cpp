#include "runtime/clock.hpp"

#include <ctime>

namespace mangofold::runtime
{

// A clock that stood still while the machine was suspended would let grants
// of before the suspension still count as live afterwards.
decision::instant system_clock::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return decision::instant(std::chrono::seconds(time.tv_sec) +
                             std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace mangofold::runtime
