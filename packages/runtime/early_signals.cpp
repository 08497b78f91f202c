#include "runtime/signals.hpp"

namespace
{

void hold_at_start(int, char**, char**)
{
    mangofold::runtime::hold_signals();
}

// The loader calls functions of this section before any initialiser of the
// program and its libraries, which can take milliseconds and start threads.
__attribute__((section(".preinit_array"),
               used)) void (*first_function)(int, char**,
                                             char**) = hold_at_start;

} // namespace
