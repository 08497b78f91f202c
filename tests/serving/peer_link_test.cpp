#include "serving/peer_link.hpp"
#include "support/accept_all.hpp"
#include "support/fake_entry.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

struct recording_listener : peer_listener
{
    peer::Holding holding() const override { return {}; }
    peer::Want handle_holding(const std::string&, const peer::Holding&) override
    {
        return {};
    }
    decision::entry_roster::probe_schedule
    probe_schedule_for(const std::string&, bool) const override
    {
        return watch;
    }
    void note_copy_declined(const std::string&) override {}
    void note_lost(const std::string&) override { ++lost_count; }
    void handle_catalog(const std::string&, const std::string& text) override
    {
        catalogs.push_back(text);
    }
    void note_catalog_part(const std::string&) override { ++parts; }
    void handle_targets(const std::string&, const peer::Targets&) override {}
    void take_back_jobs(std::vector<routed_job> jobs) override
    {
        jobs_taken_back += jobs.size();
    }

    decision::entry_roster::probe_schedule watch{1s, 10s};
    std::vector<std::string> catalogs;
    std::size_t parts = 0;
    std::size_t lost_count = 0;
    std::size_t jobs_taken_back = 0;
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
        pending = std::make_shared<pending_job>(
            std::make_shared<auto_reset_event>(loop));
        link->submit("rerank", job, pending);
        run_until([&] { return other.requested_jobs.size() == 1; });
    }

    recording_listener listener;
    test::fake_entry other;
    std::shared_ptr<peer_link> link;
    pending_job_ptr pending;
};

} // namespace

// Guards against late stages in the whole fleet after connections were reset.
// If the jobs of the batching entry move to the next entry and back a moment
// later, both entries send calls to the same targets, and neither knows how
// much memory the other has reserved there.
TEST_CASE("jobs stay with an entry whose connection was only reset")
{
    link_fixture fixture;
    fixture.time.advance(600ms);
    fixture.settle();
    fixture.other.connection->close();
    fixture.run_until([&] { return fixture.other.requested_jobs.size() == 2; });
    CHECK(fixture.other.requested_jobs[1] == "r1");
    CHECK(fixture.listener.lost_count == 0);
    CHECK(fixture.listener.jobs_taken_back == 0);
    CHECK(fixture.link->is_alive());
}

// Guards against calls with pieces that nobody waits for: the batching entry
// learnt of a caller that had left with the next ping only.
TEST_CASE("a cancelled job is dropped at once")
{
    link_fixture fixture;
    fixture.pending->cancel();
    fixture.run_until([&] { return fixture.other.dropped_jobs == 1; });
    fixture.pending->cancel();
    fixture.settle();
    CHECK(fixture.other.dropped_jobs == 1);
}

namespace
{

/// An entry that answers the first ping, and then sends one byte of a large
/// frame at a time.
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
        // An empty pong: field 3 of two bytes, with a length of zero.
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

// Guards against a batching entry that is lost and found in turns, with its
// jobs moving each time, while it sends a large catalog over a narrow link.
// Bytes arrive all the time but no whole frame, and only whole frames used to
// count as an answer.
TEST_CASE("an entry that still sends bytes counts as alive")
{
    test::serving_fixture entry;
    recording_listener listener;
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
    CHECK(listener.lost_count == 0);
    entry.time.advance(100ms);
    for (int step = 0; step < 6; ++step)
    {
        entry.settle();
        entry.time.advance(100ms);
    }
    entry.settle();
    CHECK(listener.lost_count == 1);
}

TEST_CASE("jobs of an unreachable entry are taken back at once")
{
    link_fixture fixture;
    fixture.time.advance(600ms);
    fixture.settle();
    fixture.other.acceptor.close();
    fixture.other.connection->close();
    fixture.run_until([&] { return fixture.listener.jobs_taken_back == 1; });
    CHECK(fixture.listener.lost_count == 1);
    CHECK_FALSE(fixture.link->is_alive());
}

namespace
{

/// An instance without power: its queue of connections is full, so that it does
/// not answer attempts to connect until power_up().
struct unpowered_instance
{
    explicit unpowered_instance(asio::io_context& fixture_loop)
        : loop(fixture_loop), acceptor(fixture_loop)
    {
        acceptor.open(tcp::v4());
        acceptor.bind({asio::ip::address_v4::loopback(), 0});
        acceptor.listen(0);
        constexpr int filler_count = 4;
        for (int index = 0; index < filler_count; ++index)
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

    void power_up()
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
            is_connected = true;
    }

    asio::io_context& loop;
    tcp::acceptor acceptor;
    std::vector<std::unique_ptr<tcp::socket>> fillers;
    bool is_connected = false;
};

} // namespace

// Guards against callers waiting half a second longer when a fleet starts at
// once. An entry connects to an instance that has no power yet and gets no
// answer; the instance is up a moment later. The first attempt used to last
// half a second, and the kernel repeats its own only after a second.
TEST_CASE("the first attempt to connect is aborted early and repeated")
{
    test::serving_fixture entry;
    recording_listener listener;
    unpowered_instance other(entry.loop);
    entry.settle();
    const auto link =
        std::make_shared<peer_link>(*entry.context, listener, other.address());
    spawn(entry.loop, link->run());
    entry.settle();
    other.power_up();
    entry.settle();
    for (const duration elapsed : {110ms, 30ms})
    {
        entry.time.advance(elapsed);
        entry.settle();
    }
    constexpr int max_steps = 400; // Of 1 ms; the kernel repeats later.
    for (int step = 0; step < max_steps && !other.is_connected; ++step)
        entry.loop.run_for(1ms);
    CHECK(other.is_connected);
    link->close();
}
