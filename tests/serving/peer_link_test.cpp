#include "serving/peer_link.hpp"
#include "support/accept_all.hpp"
#include "support/played_entry.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

struct quiet_listener : peer_listener
{
    peer::Holding holding() const override { return {}; }
    peer::Want note_holding(const std::string&, const peer::Holding&) override
    {
        return {};
    }
    decision::entry_roster::watch watch_of(const std::string&,
                                           bool) const override
    {
        return watch;
    }
    void note_declined(const std::string&) override {}
    void note_lost(const std::string&) override { ++losses; }
    void take_catalog(const std::string&, const std::string& text) override
    {
        catalogs.push_back(text);
    }
    void note_catalog_part(const std::string&) override { ++parts; }
    void take_targets(const std::string&, const peer::Targets&) override {}
    void take_back(std::vector<orphaned_job> jobs) override
    {
        taken_back += jobs.size();
    }

    decision::entry_roster::watch watch{1s, 10s};
    std::vector<std::string> catalogs;
    std::size_t parts = 0;
    std::size_t losses = 0;
    std::size_t taken_back = 0;
};

struct link_fixture : test::serving_fixture
{
    link_fixture()
        : other(loop),
          link(std::make_shared<peer_link>(*context, listener, other.address()))
    {
        spawn(loop, link->run());
        run_until([&] { return link->is_alive(); });
        decision::stage_job job;
        job.request = "r1";
        wait =
            std::make_shared<piece_wait>(std::make_shared<signal_point>(loop));
        link->ask("rerank", job, wait);
        run_until([&] { return other.asked.size() == 1; });
    }

    quiet_listener listener;
    test::played_entry other;
    std::shared_ptr<peer_link> link;
    piece_wait_ptr wait;
};

} // namespace

// Stages are late in the whole fleet after some connections were reset.
// 1. The connection to the gatherer breaks. 2. Its work goes to the next
// entry, and back to it a moment later. 3. Both send calls to the same
// targets, and neither knows what room the other has taken.
TEST_CASE("work stays with an entry whose connection was only reset")
{
    link_fixture one;
    one.time.advance(600ms);
    one.settle();
    one.other.connection->close();
    one.run_until([&] { return one.other.asked.size() == 2; });
    CHECK(one.other.asked[1] == "r1");
    CHECK(one.listener.losses == 0);
    CHECK(one.listener.taken_back == 0);
    CHECK(one.link->is_alive());
}

namespace
{

/// An entry that answers the first question, and then sends one byte of a
/// long frame at a time.
struct slow_entry
{
    explicit slow_entry(asio::io_context& loop)
        : acceptor(loop, {asio::ip::address_v4::loopback(), 0}), socket(loop)
    {
        spawn(loop, accept());
    }

    awaitable<void> accept()
    {
        error_code fault;
        co_await acceptor.async_accept(socket, store_error_in(fault));
        // An empty pong: field 3 of two bytes, without a length of its own.
        send(std::string("\0\0\0\2\x1a\0", 6));
        send(std::string("\0\1\0\0", 4));
    }

    void send(const std::string& bytes)
    {
        asio::write(socket, asio::buffer(bytes));
    }

    tcp::acceptor acceptor;
    tcp::socket socket;
};

} // namespace

// Seen: the entry that gathers is lost and found by turns while a large
// catalog is under way over a narrow link, and its work moves each time.
// 1. It sends something long. 2. Bytes come all the time, but no whole frame.
// 3. Only whole frames counted as a sign of life.
TEST_CASE("an entry whose bytes still come is not silent")
{
    test::serving_fixture entry;
    quiet_listener listener;
    listener.watch = {100ms, 500ms};
    slow_entry other(entry.loop);
    const auto link = std::make_shared<peer_link>(
        *entry.context, listener,
        "127.0.0.1:" + std::to_string(other.acceptor.local_endpoint().port()));
    spawn(entry.loop, link->run());
    entry.run_until([&] { return link->is_alive(); });
    for (int step = 0; step < 20; ++step)
    {
        other.send("x");
        entry.settle();
        entry.time.advance(100ms);
        entry.settle();
    }
    CHECK(listener.losses == 0);
    entry.time.advance(100ms);
    for (int step = 0; step < 6; ++step)
    {
        entry.settle();
        entry.time.advance(100ms);
    }
    entry.settle();
    CHECK(listener.losses == 1);
}

TEST_CASE("the work of an entry that is gone is taken back at once")
{
    link_fixture one;
    one.time.advance(600ms);
    one.settle();
    one.other.acceptor.close();
    one.other.connection->close();
    one.run_until([&] { return one.listener.taken_back == 1; });
    CHECK(one.listener.losses == 1);
    CHECK_FALSE(one.link->is_alive());
}

namespace
{

/// A place that answers nothing to those who connect, as an instance without
/// power does, since its queue of connections is full; until it wakes.
struct silent_place
{
    explicit silent_place(asio::io_context& its_loop)
        : loop(its_loop), acceptor(its_loop)
    {
        acceptor.open(tcp::v4());
        acceptor.bind({asio::ip::address_v4::loopback(), 0});
        acceptor.listen(0);
        constexpr int more_than_queued = 4;
        for (int one = 0; one < more_than_queued; ++one)
        {
            fillers.push_back(std::make_unique<tcp::socket>(loop));
            fillers.back()->async_connect(acceptor.local_endpoint(),
                                          [](const error_code&) {});
        }
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    void wake()
    {
        fillers.clear();
        spawn(loop, test::accept_all(loop, acceptor,
                                     [this](tcp::socket socket)
                                     { return read(std::move(socket)); }));
    }

    awaitable<void> read(tcp::socket socket)
    {
        const auto frames = std::make_shared<frame_socket>(std::move(socket));
        while (co_await frames->read())
            is_found = true;
    }

    asio::io_context& loop;
    tcp::acceptor acceptor;
    std::vector<std::unique_ptr<tcp::socket>> fillers;
    bool is_found = false;
};

} // namespace

// Callers of a fleet that starts at once wait half a second more.
// 1. An entry connects to one that has no power yet; nothing comes back. 2. The
// other one is up a moment later. 3. The first try hung on for half a second;
// the system's own repetition comes after a second.
TEST_CASE("a first try to connect is given up soon and made again")
{
    test::serving_fixture entry;
    quiet_listener listener;
    silent_place other(entry.loop);
    entry.settle();
    const auto link =
        std::make_shared<peer_link>(*entry.context, listener, other.address());
    spawn(entry.loop, link->run());
    entry.settle();
    other.wake();
    entry.settle();
    for (const duration gone : {110ms, 30ms})
    {
        entry.time.advance(gone);
        entry.settle();
    }
    constexpr int before_repetition = 400; // Steps of a millisecond.
    for (int step = 0; step < before_repetition && !other.is_found; ++step)
        entry.loop.run_for(1ms);
    CHECK(other.is_found);
    link->close();
}
