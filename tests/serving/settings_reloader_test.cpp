#include "serving/settings_reloader.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <csignal>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

struct settings_fixture : test::serving_fixture
{
    settings_fixture()
        : written(context->settings),
          reloader(*context, [this] { return read(); })
    {
    }

    node_settings read() const
    {
        if (is_unreadable)
            throw settings_error("unreadable");
        return written;
    }

    node_settings written;
    bool is_unreadable = false;
    settings_reloader reloader;
};

} // namespace

// An operator changes the settings and sends SIGHUP. Without a handler the
// signal would terminate the process and all open connections.
TEST_CASE("SIGHUP makes a running process apply changed settings")
{
    settings_fixture entry;
    spawn(entry.loop, entry.reloader.run());
    entry.settle();
    entry.written.seeds = {{"127.0.0.1", 7}};
    std::raise(SIGHUP);
    entry.run_until([&] { return entry.context->settings.seeds.size() == 1; });
}

// Some operators change the file without sending a signal.
TEST_CASE("settings changed without a signal are applied")
{
    settings_fixture entry;
    spawn(entry.loop, entry.reloader.run());
    entry.settle();
    entry.written.grace = 5s;
    entry.time.advance(2s);
    entry.run_until([&] { return entry.context->settings.grace == 5s; });
}

// The file can be read while it is being written, or contain a mistake. The
// process keeps its settings and applies the file once it is valid.
TEST_CASE("unreadable settings leave the previous ones in force")
{
    settings_fixture entry;
    entry.written.grace = 5s;
    entry.is_unreadable = true;
    using outcome = settings_reloader::outcome;
    CHECK(entry.reloader.reload("signal") == outcome::rejected);
    CHECK(entry.context->settings.grace == 0s);
    entry.is_unreadable = false;
    CHECK(entry.reloader.reload("signal") == outcome::applied);
    CHECK(entry.context->settings.grace == 5s);
    CHECK(entry.reloader.reload("signal") == outcome::unchanged);
}

// Callers are connected to the present addresses, so a changed address takes
// effect only with the next start. All other changes are applied.
TEST_CASE("a running process keeps its addresses when its settings change")
{
    settings_fixture entry;
    entry.written.caller_address = {"127.0.0.1", 9};
    entry.written.max_configuration_delay = 3s;
    entry.reloader.reload("signal");
    CHECK(entry.context->settings.caller_address.port == 0);
    CHECK(entry.context->settings.max_configuration_delay == 3s);
}
