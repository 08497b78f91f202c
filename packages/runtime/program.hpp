#pragma once

#include "runtime/event.hpp"
#include "runtime/settings.hpp"
#include "runtime/signals.hpp"

#include <chrono>
#include <csignal>
#include <exception>
#include <string>

namespace mangofold::runtime
{

/// Prints the help text or the version if \a flags request one of them.
/// Returns whether the program has nothing else to do.
bool print_requested_info(const settings& flags, const std::string& program);

/// Waits for signals for at most \a timeout. Returns whether SIGTERM or SIGINT
/// has requested a stop; logs SIGHUP, which has no effect.
bool is_stop_requested(std::chrono::milliseconds timeout);

/// Starts the root supervisor that \a make returns (as a smart pointer), calls
/// its check() regularly, and stops it when a signal requests a stop. Returns
/// the exit code. All signals are taken on this thread; they are held back on
/// the threads that the supervisor starts.
template<typename Make>
int run_until_signalled(Make make)
{
    constexpr std::chrono::milliseconds check_interval{50};
    hold_signals();
    try
    {
        auto root = make();
        root->start();
        while (!is_stop_requested(check_interval))
            root->check();
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
