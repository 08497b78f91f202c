#include "serving/settings_keeper.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <csignal>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

struct keeper_fixture : test::serving_fixture
{
    keeper_fixture()
        : written(context->settings),
          keeper(*context, [this] { return read(); })
    {
    }

    node_settings read() const
    {
        if (is_torn)
            throw settings_error("torn");
        return written;
    }

    node_settings written;
    bool is_torn = false;
    settings_keeper keeper;
};

} // namespace

// An operator changes the settings and sends a hangup. Without a handler the
// signal ends the process, and with it every open connection.
TEST_CASE("a hangup signal makes a running process take its new settings")
{
    keeper_fixture one;
    spawn(one.loop, one.keeper.run());
    one.settle();
    one.written.seeds = {{"127.0.0.1", 7}};
    std::raise(SIGHUP);
    one.run_until([&] { return one.context->settings.seeds.size() == 1; });
}

// Some operators change the file and send nothing.
TEST_CASE("settings that change without a signal are found")
{
    keeper_fixture one;
    spawn(one.loop, one.keeper.run());
    one.settle();
    one.written.grace = 5s;
    one.time.advance(2s);
    one.run_until([&] { return one.context->settings.grace == 5s; });
}

// The file is read while it is being written, or holds a mistake. The process
// goes on with what it has, and takes the whole file once it is there.
TEST_CASE("settings that can't be read leave the present ones in force")
{
    keeper_fixture one;
    one.written.grace = 5s;
    one.is_torn = true;
    using outcome = settings_keeper::outcome;
    CHECK(one.keeper.read_again("signal") == outcome::refused);
    CHECK(one.context->settings.grace == 0s);
    one.is_torn = false;
    CHECK(one.keeper.read_again("signal") == outcome::taken);
    CHECK(one.context->settings.grace == 5s);
    CHECK(one.keeper.read_again("signal") == outcome::same);
}

// A new address in the file takes effect with the next start. What callers
// are connected to stays, and all else is taken.
TEST_CASE("a process keeps its addresses when its settings change")
{
    keeper_fixture one;
    one.written.callers = {"127.0.0.1", 9};
    one.written.adoption_time = 3s;
    one.keeper.read_again("signal");
    CHECK(one.context->settings.callers.port == 0);
    CHECK(one.context->settings.adoption_time == 3s);
}
