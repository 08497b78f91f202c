#include "decision/target_directory.hpp"
#include "decision/zone_evacuations.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;

namespace
{

using zones = std::set<std::string>;

zone_evacuations evacuations_from(const zone_snapshot& received)
{
    zone_evacuations evacuations;
    evacuations.merge(received);
    return evacuations;
}

} // namespace

// Guards against requests to an evacuated zone before the evacuations are
// known.
TEST_CASE("evacuations are incomplete until a full list was received")
{
    zone_evacuations evacuations;
    evacuations.note({"a", 5, true});
    CHECK_FALSE(evacuations.is_complete());
    evacuations.merge({{}, 6});
    CHECK(evacuations.is_complete());
}

// Guards against a late update that overrides a newer one.
TEST_CASE("an older update about a zone is ignored")
{
    zone_evacuations evacuations = evacuations_from({{{"a", 5, true}}, 5});
    CHECK(evacuations.note({"a", 9, false}));
    CHECK_FALSE(evacuations.note({"a", 5, true}));
    CHECK_FALSE(evacuations.merge({{{"a", 8, true}}, 8}));
    CHECK(evacuations.evacuated_zones().empty());
}

// Guards against an evacuation that ends since an older list does not contain
// it.
TEST_CASE("a list read before an evacuation does not end it")
{
    zone_evacuations evacuations = evacuations_from({{{"a", 7, true}}, 3});
    CHECK_FALSE(evacuations.merge({{}, 6}));
    CHECK(evacuations.evacuated_zones() == zones{"a"});
}

// Guards against a zone that stays unused after the update that ended its
// evacuation was missed.
TEST_CASE("a full list without a zone ends the evacuation of the zone")
{
    zone_evacuations evacuations =
        evacuations_from({{{"a", 7, true}, {"b", 8, true}}, 8});
    CHECK(evacuations.merge({{{"b", 12, true}}, 12}));
    CHECK(evacuations.evacuated_zones() == zones{"b"});
    SUBCASE("which older updates do not revert")
    {
        CHECK_FALSE(evacuations.note({"a", 11, true}));
        CHECK(evacuations.evacuated_zones() == zones{"b"});
    }
}

// Guards against a restarted process that ends evacuations that it does not
// know of yet.
TEST_CASE("the snapshot of an entry without state ends no evacuation")
{
    zone_evacuations evacuations = evacuations_from({{{"a", 7, true}}, 7});
    CHECK_FALSE(evacuations.merge(zone_evacuations().snapshot()));
    CHECK(evacuations.evacuated_zones() == zones{"a"});
}

TEST_CASE("an entry that merges a snapshot has the state of its sender")
{
    const zone_evacuations evacuations = evacuations_from(
        {{{"a", 7, true}, {"b", 9, false}, {"c", 4, true}}, 8});
    zone_evacuations other = evacuations_from({{{"b", 6, true}}, 2});
    other.merge(evacuations.snapshot());
    CHECK(other == evacuations);
}

// Guards against requests to targets of an evacuated zone, also to targets that
// are listed after the evacuation.
TEST_CASE("targets of a zone get no requests until its evacuation ends")
{
    target_directory directory;
    directory.set_source_available(true, instant{});
    directory.note({"t1", "rank", "10.0.0.1:1", "a", 1, false, 1});
    directory.note({"t2", "rank", "10.0.0.2:1", "b", 1, false, 2});
    directory.set_evacuated_zones({"a"});
    CHECK(directory.serving("rank").size() == 1);
    CHECK(directory.find("t1") == nullptr);
    directory.note({"t3", "rank", "10.0.0.3:1", "a", 1, false, 3});
    CHECK(directory.serving("rank").size() == 1);
    CHECK_FALSE(directory.is_evacuated("rank"));
    directory.set_evacuated_zones({"a", "b"});
    CHECK(directory.is_evacuated("rank"));
    CHECK_FALSE(directory.is_evacuated("other"));
    directory.set_evacuated_zones({});
    CHECK(directory.serving("rank").size() == 3);
    CHECK_FALSE(directory.is_evacuated("rank"));
}
