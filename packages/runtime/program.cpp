#include "runtime/program.hpp"

#include "runtime/version.hpp"

#include <iostream>

namespace mangofold::runtime
{

namespace
{

volatile std::sig_atomic_t stop_requested = 0;

void request_stop(int)
{
    stop_requested = 1;
}

} // namespace

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

void install_signal_handlers()
{
    std::signal(SIGTERM, request_stop);
    std::signal(SIGINT, request_stop);
    std::signal(SIGPIPE, SIG_IGN);
}

bool is_stop_requested()
{
    return stop_requested != 0;
}

} // namespace mangofold::runtime
