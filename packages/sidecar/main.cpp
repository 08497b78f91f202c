#include "runtime/log.hpp"
#include "runtime/program.hpp"
#include "sidecar/sidecar.hpp"

#include <iostream>

using namespace mangofold;

int main(int argc, char** argv)
{
    runtime::hold_signals();
    runtime::settings flags(
        "mangofold-sidecar: controls the admission of work to one target");
    sidecar::add_flags(flags);
    sidecar::sidecar_settings values;
    try
    {
        flags.read(argc, argv);
        if (runtime::print_requested_info(flags, "mangofold-sidecar"))
            return runtime::exit_ok;
        values = sidecar::checked_settings(flags);
        if (!runtime::start_log("sidecar", values.target_id, values.log_level))
            throw runtime::settings_error("--log-level has an unknown value");
    }
    catch (const runtime::settings_error& error)
    {
        std::cerr << "mangofold-sidecar: " << error.what() << "\nTry --help.\n";
        return runtime::exit_bad_settings;
    }
    const runtime::system_clock clock;
    return runtime::run_until_signalled(
        [&] { return std::make_unique<sidecar::sidecar>(values, clock); });
}
