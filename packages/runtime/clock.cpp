#include "runtime/clock.hpp"

#include <ctime>

namespace mangofold::runtime
{

// With a clock that stops while the machine is suspended, grants from before
// the suspension would still count as valid after it. CLOCK_BOOTTIME goes on.
decision::instant system_clock::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return decision::instant(std::chrono::seconds(time.tv_sec) +
                             std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace mangofold::runtime
