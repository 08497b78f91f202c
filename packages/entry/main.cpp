#include "entry/check_command.hpp"
#include "entry/entry.hpp"
#include "runtime/log.hpp"
#include "runtime/program.hpp"

#include <iostream>

using namespace mangofold;

int main(int argc, char** argv)
{
    runtime::hold_signals();
    if (argc == 3 && std::string(argv[1]) == "check")
        return entry::check_manifest(argv[2]);
    runtime::settings flags("mangofold-entry: accepts the requests of clients\n"
                            "mangofold-entry check FILE: validates a manifest");
    entry::add_flags(flags);
    entry::entry_settings values;
    try
    {
        flags.read(argc, argv);
        if (runtime::print_requested_info(flags, "mangofold-entry"))
            return runtime::exit_ok;
        values = entry::checked_settings(flags);
        if (!runtime::start_log("entry", values.id, values.log_level))
            throw runtime::settings_error("--log-level has an unknown value");
    }
    catch (const runtime::settings_error& error)
    {
        std::cerr << "mangofold-entry: " << error.what() << "\nTry --help.\n";
        return runtime::exit_bad_settings;
    }
    const runtime::system_clock clock;
    return runtime::run_until_signalled(
        [&] { return std::make_unique<entry::entry>(values, clock); });
}
