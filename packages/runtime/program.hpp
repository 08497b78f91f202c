#pragma once

#include "runtime/event.hpp"
#include "runtime/settings.hpp"

#include <atomic>
#include <chrono>
#include <csignal>
#include <exception>
#include <string>
#include <thread>

namespace mangofold::runtime
{

/// Prints the help text or the version if \a flags request one of them.
/// Returns whether the program has nothing else to do.
bool print_requested_info(const settings& flags, const std::string& program);

/// Makes SIGTERM and SIGINT request a stop, and ignores SIGPIPE.
void install_signal_handlers();

/// Whether a signal has requested a stop.
bool is_stop_requested();

/// Starts the root supervisor that \a make returns (as a smart pointer), calls
/// its check() regularly, and stops it when a signal requests a stop. Returns
/// the exit code.
template<typename Make>
int run_until_signalled(Make make)
{
    constexpr std::chrono::milliseconds check_interval{50};
    install_signal_handlers();
    try
    {
        auto root = make();
        root->start();
        while (!is_stop_requested())
        {
            std::this_thread::sleep_for(check_interval);
            root->check();
        }
        event("stopping").info();
        root->stop();
        event("stopped").info();
        return exit_ok;
    }
    catch (const std::exception& error)
    {
        event("start_failed").with("fault", error.what()).error();
        return exit_failed;
    }
}

} // namespace mangofold::runtime
