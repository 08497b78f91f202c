#include "serving/peer_mesh.hpp"
#include "serving/peer_messages.hpp"
#include "support/fake_entry.hpp"
#include "support/serving_fixture.hpp"
#include "support/stub_source.hpp"

#include <doctest/doctest.h>

#include <numeric>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

/// An entry with version 1 of the catalog among others that hold version 9.
struct outdated_entry : test::serving_fixture
{
    outdated_entry()
        : source(*context, source_speech), mesh(*context, source, *batcher)
    {
        context->settings.max_configuration_delay = 3s;
        for (auto& other : others)
        {
            other = std::make_unique<test::fake_entry>(loop);
            other->holding.set_catalog_version(9);
            // It may be elected, and is pinged often.
            other->holding.set_cores(1);
            mesh.add(other->address());
        }
        spawn(loop, mesh.run());
    }

    void advance(duration total)
    {
        constexpr duration step = 50ms;
        for (duration elapsed{}; elapsed < total; elapsed += step)
        {
            time.advance(step);
            settle();
        }
    }

    std::size_t catalogs_requested() const
    {
        return std::accumulate(others.begin(), others.end(), std::size_t{0},
                               [](std::size_t sum, const auto& other)
                               { return sum + other->catalog_requests; });
    }

    test::stub_source source_speech;
    source_reader source;
    peer_mesh mesh;
    std::array<std::unique_ptr<test::fake_entry>, 4> others;
};

} // namespace

// Guards against a newly published route that entries behind a narrow link
// still don't know 3.3 s later, with all of their requests late for many
// seconds. Such an entry hears of the large catalog from all other entries and
// requests a copy from one of them; the copy takes longer than a quarter of a
// second. It used to request another copy from the next entry then, and so on.
// Each copy slowed down the others until the link carried little else: the link
// was full for 17 s with an idle processor.
TEST_CASE("an entry with an old catalog does not request copy after copy")
{
    outdated_entry entry;
    entry.advance(4s);
    CHECK(entry.catalogs_requested() >= 1);
    CHECK(entry.catalogs_requested() <= 4);
}

// The same with a holder that is gone: the entry must request the catalog from
// the next one.
TEST_CASE("an entry with an old catalog requests it from another holder later")
{
    outdated_entry entry;
    entry.advance(4s);
    CHECK(entry.catalogs_requested() >= 2);
}

// Guards against requests that start although the next service is slower than
// declared: the entries that start them don't know what its calls hold.
TEST_CASE("an entry reports the time per piece of the services that it batches")
{
    outdated_entry entry;
    entry.add_target(
        "pieces",
        [](const std::string&, std::size_t)
        {
            return test::scripted_target::response{
                "", test::scripted_target::response::connection_action::hang};
        });
    decision::stage_job job;
    job.expires = job.due = entry.time.now() + 5s;
    entry.batcher->add(
        "pieces", job, [](const job_outcome&) { return true; },
        [] { return true; }, [] {});
    const peer::Holding holding = entry.mesh.holding();
    REQUIRE(holding.backlogs_size() == 1);
    // Eight pieces in 280 ms, as declared.
    CHECK(holding.backlogs(0).time_per_piece_ns() == duration(35ms).count());
    peer::Holding remote = holding;
    remote.mutable_backlogs(0)->set_service("rerank");
    remote.mutable_backlogs(0)->set_time_per_piece_ns(duration(70ms).count());
    entry.mesh.handle_holding(entry.others[0]->address(), remote);
    CHECK(entry.batcher->time_per_piece("rerank", 1ms) == 70ms);
    CHECK(entry.batcher->time_per_piece("other", 1ms) == 1ms);
}

// Guards against generations that wait for an entry of an older version, which
// does not answer questions for engines.
TEST_CASE("only entries that say so are asked for engines")
{
    outdated_entry entry;
    for (auto& other : entry.others)
        other->holding.set_has_targets(true);
    entry.advance(2s);
    // A service for which another entry is elected.
    std::string service = "s";
    for (int tries = 0; tries < 20; ++tries)
        if (entry.mesh.batching_peer(service) == nullptr)
            service += 's';
    REQUIRE(entry.mesh.batching_peer(service) != nullptr);
    const std::string elected = entry.mesh.batching_peer(service)->address();
    CHECK(entry.mesh.scheduler_of(service).empty());
    for (auto& other : entry.others)
        other->holding.set_schedules_engines(true);
    entry.advance(2s);
    CHECK(entry.mesh.scheduler_of(service) == elected);
}

// Guards against an invalid target address that is passed on by an entry with
// less strict validation.
TEST_CASE("targets received from another entry are validated")
{
    decision::target_directory directory;
    peer::Targets received;
    for (const char* address : {"nowhere", "", "10.0.0.1:80"})
    {
        peer::Target& target = *received.add_targets();
        target.set_id(std::string("t-") + address);
        target.set_service("plain");
        target.set_address(address);
        target.set_born(5);
        target.set_revision(1);
    }
    apply_targets(received, directory);
    REQUIRE(directory.serving("plain").size() == 1);
    CHECK(directory.serving("plain")[0]->incarnation ==
          decision::target_incarnation("t-10.0.0.1:80", 5));
}
