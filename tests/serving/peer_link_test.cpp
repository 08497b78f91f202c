#include "serving/peer_link.hpp"
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
        return {1s, 10s};
    }
    void note_lost(const std::string&) override { ++losses; }
    void take_catalog(const std::string&) override {}
    void take_targets(const peer::Targets&) override {}
    void take_back(std::vector<orphaned_job> jobs) override
    {
        taken_back += jobs.size();
    }

    std::size_t losses = 0;
    std::size_t taken_back = 0;
};

/// The other entry, as a test plays it: keeps what it was asked for.
struct played_entry
{
    explicit played_entry(asio::io_context& its_loop)
        : loop(its_loop), acceptor(loop, {asio::ip::address_v4::loopback(), 0})
    {
        start(loop, accept());
    }

    awaitable<void> accept()
    {
        for (;;)
        {
            error_code fault;
            tcp::socket socket = co_await acceptor.async_accept(into(fault));
            if (fault)
                co_return;
            connection = std::make_shared<frame_socket>(std::move(socket));
            ++connections;
            start(loop, read(connection));
        }
    }

    awaitable<void> read(frame_socket_ptr socket)
    {
        while (auto frame = co_await socket->read())
        {
            if (frame->content_case() == peer::Frame::kJob)
                asked.push_back(frame->job().request());
            if (frame->content_case() != peer::Frame::kPing)
                continue;
            peer::Frame pong;
            pong.mutable_pong();
            socket->send(pong);
        }
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    asio::io_context& loop;
    tcp::acceptor acceptor;
    frame_socket_ptr connection;
    std::size_t connections = 0;
    std::vector<std::string> asked;
};

struct link_fixture : test::serving_fixture
{
    link_fixture()
        : other(loop),
          link(std::make_shared<peer_link>(*context, listener, other.address()))
    {
        start(loop, link->run());
        run_until([&] { return link->is_alive(); });
        decision::piece_job job;
        job.request = "r1";
        wait =
            std::make_shared<piece_wait>(std::make_shared<signal_point>(loop));
        link->ask("rerank", job, wait);
        run_until([&] { return other.asked.size() == 1; });
    }

    quiet_listener listener;
    played_entry other;
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
