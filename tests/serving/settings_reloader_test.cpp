#include "serving/settings_reloader.hpp"
#include "support/log_text.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <filesystem>

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

    node_settings read()
    {
        ++reads;
        if (during_read)
            during_read();
        if (is_unreadable)
            throw settings_error("unreadable");
        return written;
    }

    node_settings written;
    bool is_unreadable = false;
    int reads = 0;
    std::function<void()> during_read;
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

// Guards against a log that does not show whether a signal arrived.
TEST_CASE("a signal is logged and counted although the settings are unchanged")
{
    const test::log_text log;
    settings_fixture entry;
    spawn(entry.loop, entry.reloader.run());
    entry.settle();
    entry.time.advance(2s);
    entry.settle();
    CHECK_FALSE(log.has("settings_unchanged"));
    std::raise(SIGHUP);
    entry.run_until([&] { return log.has("settings_unchanged"); });
    CHECK(log.has(R"("why":"signal","signals":1)"));
    CHECK(entry.context->metrics.count({"settings_signals", ""}) == 1);
}

// Guards against a loop that only reads settings: each of many signals must
// not cost a read of its own, and none may be lost.
TEST_CASE("signals in quick succession share a read after the present one")
{
    const test::log_text log;
    settings_fixture entry;
    entry.during_read = [&]
    {
        for (int sent = 0; entry.reads == 1 && sent < 20; ++sent)
            std::raise(SIGHUP);
    };
    spawn(entry.loop, entry.reloader.run());
    entry.settle();
    std::raise(SIGHUP);
    entry.run_until([&] { return entry.reads > 0; });
    entry.settle();
    CHECK(entry.reads == 1);
    entry.time.advance(100ms);
    entry.run_until([&] { return entry.reads > 1; });
    entry.settle();
    entry.time.advance(100ms);
    entry.settle();
    CHECK(entry.reads == 2);
    CHECK(log.has(R"("why":"signal","signals":20)"));
    CHECK(entry.context->metrics.count({"settings_signals", ""}) == 21);
}

// Guards against an exception that ends the reloader, so that later signals and
// changes are ignored.
TEST_CASE("whatever a read throws, the previous settings stay in force")
{
    const test::log_text log;
    settings_fixture entry;
    spawn(entry.loop, entry.reloader.run());
    entry.settle();
    entry.written.grace = 5s;
    std::string expected;
    SUBCASE("file system")
    {
        entry.during_read = []
        { std::filesystem::directory_iterator("/no such file"); };
        expected = "No such file";
    }
    SUBCASE("memory")
    {
        entry.during_read = [] { throw std::bad_alloc(); };
        expected = "bad_alloc";
    }
    SUBCASE("no exception class")
    {
        entry.during_read = [] { throw 7; };
        expected = "unknown exception";
    }
    std::raise(SIGHUP);
    entry.run_until([&] { return entry.reads == 1; });
    entry.settle();
    CHECK(entry.context->settings.grace == 0s);
    CHECK(log.has("settings_refused"));
    CHECK(log.has(expected));
    entry.during_read = nullptr;
    entry.time.advance(100ms); // Signals are taken again after a pause.
    entry.settle();
    entry.time.advance(2s);
    entry.run_until([&] { return entry.context->settings.grace == 5s; });
}
