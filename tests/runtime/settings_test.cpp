#include "entry/entry_settings.hpp"
#include "sidecar/sidecar_settings.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <vector>

using namespace mangofold;

namespace
{

entry::entry_settings read_entry(std::vector<const char*> flags)
{
    std::vector<const char*> arguments{"mangofold-entry",
                                       "--id=e1",
                                       "--zone=z1",
                                       "--listen=127.0.0.1:1001",
                                       "--admin=127.0.0.1:1002",
                                       "--platform=127.0.0.1:1003"};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    runtime::settings settings("test");
    entry::add_flags(settings);
    settings.read(static_cast<int>(arguments.size()), arguments.data());
    return entry::checked_settings(settings);
}

} // namespace

TEST_SUITE("settings")
{
    TEST_CASE("flags are read and validated")
    {
        const entry::entry_settings value =
            read_entry({"--seeds=127.0.0.1:1004,127.0.0.1:1005"});
        CHECK(value.listen == runtime::address{"127.0.0.1", 1001});
        CHECK(value.seeds.size() == 2);
    }

    TEST_CASE(
        "an environment variable sets a flag, the command line overrides it")
    {
        setenv("MANGOFOLD_MAX_IN_PROGRESS", "7", 1);
        CHECK(read_entry({}).max_in_progress == 7);
        CHECK(read_entry({"--max-in-progress=9"}).max_in_progress == 9);
        unsetenv("MANGOFOLD_MAX_IN_PROGRESS");
    }

    TEST_CASE("invalid settings are rejected before the program starts")
    {
        using runtime::settings_error;
        CHECK_THROWS_AS(read_entry({"--max-in-progress=512"}), settings_error);
        CHECK_THROWS_AS(read_entry({"--http-threads=0"}), settings_error);
        CHECK_THROWS_AS(read_entry({"--seeds=localhost:1"}), settings_error);
        CHECK_THROWS_AS(read_entry({"--no-such-flag=1"}), settings_error);
    }
}
