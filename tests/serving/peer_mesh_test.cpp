#include "serving/peer_mesh.hpp"
#include "serving/peer_messages.hpp"
#include "support/plain_source.hpp"
#include "support/played_entry.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <numeric>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

/// An entry with version 1 among others that hold version 9.
struct behind_fixture : test::serving_fixture
{
    behind_fixture()
        : source(*context, speaks), mesh(*context, source, *piece_gatherer)
    {
        context->settings.adoption_time = 3s;
        for (auto& one : others)
        {
            one = std::make_unique<test::played_entry>(loop);
            one->holding.set_catalog_version(9);
            one->holding.set_cores(1); // It may gather, and is asked often.
            mesh.add(one->address());
        }
        spawn(loop, mesh.run());
    }

    void pass(duration most)
    {
        constexpr duration step = 50ms;
        for (duration gone{}; gone < most; gone += step)
        {
            time.advance(step);
            settle();
        }
    }

    std::size_t asked() const
    {
        return std::accumulate(others.begin(), others.end(), std::size_t{0},
                               [](std::size_t sum, const auto& one)
                               { return sum + one->catalogs_asked; });
    }

    test::plain_source speaks;
    source_reader source;
    peer_mesh mesh;
    std::array<std::unique_ptr<test::played_entry>, 4> others;
};

} // namespace

// Seen: a route that was published 3.3 s before is not found at entries with
// a narrow link; all that they do is late for many seconds.
// 1. A large catalog is published. 2. Such an entry hears of it from all the
// others and asks one of them; the copy takes longer than a quarter of a
// second. 3. It asked the next one then, and so on: each copy slowed all the
// others, until the link carried little else. Proved by the links' figures
// (full for 17 s, the processor idle).
TEST_CASE("an entry that is behind does not ask for copy after copy")
{
    behind_fixture entry;
    entry.pass(4s);
    CHECK(entry.asked() >= 1);
    CHECK(entry.asked() <= 4);
}

// The same with a holder that is gone: the next one must be asked.
TEST_CASE("an entry that is behind asks another holder after a while")
{
    behind_fixture entry;
    entry.pass(4s);
    CHECK(entry.asked() >= 2);
}

// An entry that reads less strictly passes on what it took for a target.
TEST_CASE("what another entry tells of a target is looked at too")
{
    decision::target_directory directory;
    peer::Targets told;
    for (const char* address : {"nowhere", "", "10.0.0.1:80"})
    {
        peer::Target& one = *told.add_targets();
        one.set_id(std::string("t-") + address);
        one.set_service("plain");
        one.set_address(address);
        one.set_born(5);
        one.set_revision(1);
    }
    take_targets(told, directory);
    REQUIRE(directory.serving("plain").size() == 1);
    CHECK(directory.serving("plain")[0]->start ==
          decision::target_start("t-10.0.0.1:80", 5));
}
