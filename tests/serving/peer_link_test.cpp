#include "serving/peer_link.hpp"
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
