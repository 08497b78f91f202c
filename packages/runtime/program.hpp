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

/// Prints the help text or the version where \a flags ask for it. Returns
/// whether they did.
bool answered_information(const settings& flags, const std::string& program);

/// Makes SIGTERM and SIGINT ask the process to stop.
void watch_signals();

/// Whether the process was asked to stop.
bool is_stop_wanted();

/// Runs what \a make returns, with start, check and stop, until the process
/// is asked to stop. Returns the exit code.
template<typename Make>
int run_until_signalled(Make make)
{
    constexpr std::chrono::milliseconds check_interval{50};
    watch_signals();
    try
    {
        auto root = make();
        root->start();
        while (!is_stop_wanted())
        {
            std::this_thread::sleep_for(check_interval);
            root->check();
        }
        event("stopping").info();
        root->stop();
        event("stopped").info();
        return exit_ok;
    }
    catch (const std::exception& fault)
    {
        event("start_failed").with("fault", fault.what()).error();
        return exit_failed;
    }
}

} // namespace mangofold::runtime
