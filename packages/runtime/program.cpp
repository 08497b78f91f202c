#include "runtime/program.hpp"

#include "runtime/version.hpp"

#include <iostream>

namespace mangofold::runtime
{

bool print_requested_info(const settings& flags, const std::string& program)
{
    if (flags.has("help"))
    {
        std::cout << flags.help();
        return true;
    }
    if (flags.has("version"))
    {
        std::cout << program << ' ' << version << '\n';
        return true;
    }
    return false;
}

bool is_stop_requested(std::chrono::milliseconds timeout)
{
    const auto taken = take_signal(timeout);
    if (taken == SIGHUP)
        event("hangup_ignored").info();
    return taken && taken != SIGHUP;
}

} // namespace mangofold::runtime
