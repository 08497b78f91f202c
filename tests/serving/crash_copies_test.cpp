#include "serving/records/crash_copies.hpp"
#include "serving/records/record_keeper.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;

namespace
{

const runtime::address keeper_address{"127.0.0.1", 25991};

/// An entry with an engine, beside which a record keeper listens.
class entry_with_keeper : public serving_fixture
{
public:
    explicit entry_with_keeper(serving::record_keeper& keeper)
        : m_server(loop, keeper, keeper_address)
    {
        context->settings.peer_address = {keeper_address.host, 0};
        context->settings.record_keeper_port = keeper_address.port;
        keepers = std::make_unique<serving::keeper_client>(*context);
        copies = std::make_unique<serving::crash_copies>(*context, *keepers);
        keepers->set_handler(
            [this](const std::string& address, const peer::Frame& frame)
            { copies->handle(address, frame); });
        add_target("events", [](const std::string&, std::size_t)
                   { return scripted_target::response{}; });
        serving::spawn(loop, m_server.run());
        serving::spawn(loop, keepers->run());
    }

    /// Lets the entry and the keeper exchange what they know.
    void exchange()
    {
        for (int round = 0; round < 3; ++round)
        {
            keepers->maintain();
            copies->maintain();
            settle();
        }
    }

    decision::crash_log& crashes() { return context->quarantine.crashes(); }

    std::unique_ptr<serving::keeper_client> keepers;
    std::unique_ptr<serving::crash_copies> copies;

private:
    serving::record_keeper_server m_server;
};

} // namespace

// Guards against targets that crash once more after all entries were lost,
// since nobody remembers which requests crash them.
TEST_CASE("crashes of targets are known to an entry that has just started")
{
    runtime::paused_clock time;
    serving::record_keeper keeper(time, 1);
    {
        entry_with_keeper entry(keeper);
        for (std::uint64_t number = 1; number <= 250; ++number)
            entry.crashes().note({{1, number},
                                  {"t" + std::to_string(number), 7},
                                  entry.time.now(),
                                  entry.time.now()},
                                 entry.time.now());
        for (int round = 0; round < 3; ++round)
            entry.exchange();
    }
    entry_with_keeper restarted(keeper);
    restarted.exchange();
    CHECK(restarted.crashes().size() == 250);
    CHECK(restarted.crashes().unrefuted_count({1, 250}) == 1);
}

// Guards against copies that stay away from a record keeper that has started
// again without them.
TEST_CASE("crashes are sent again to a record keeper that started again")
{
    runtime::paused_clock time;
    std::optional<serving::record_keeper> keeper;
    keeper.emplace(time, 1);
    entry_with_keeper entry(*keeper);
    const auto note = [&entry](std::uint64_t number)
    {
        entry.crashes().note(
            {{1, number}, {"t", number}, entry.time.now(), entry.time.now()},
            entry.time.now());
    };
    note(1);
    entry.exchange();
    keeper.emplace(time, 2);
    note(2);
    entry.exchange();
    peer::Frame question;
    question.mutable_ends_question();
    CHECK(keeper->handle(question)->ends().ends_size() == 2);
}
