#include "decision/target_directory.hpp"
#include "decision/zone_evacuations.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;

namespace
{

using zones = std::set<std::string>;

zone_evacuations knowing(const zone_snapshot& words)
{
    zone_evacuations known;
    known.merge(words);
    return known;
}

} // namespace

// Guards against sending into zones before anybody has said which are
// evacuated.
TEST_CASE("evacuations are unknown until somebody has read all of them")
{
    zone_evacuations own;
    own.note({"a", 5, true});
    CHECK_FALSE(own.is_complete());
    own.merge({{}, 6});
    CHECK(own.is_complete());
}

// Guards against a late word that undoes a newer one.
TEST_CASE("an older word on a zone changes nothing")
{
    zone_evacuations own = knowing({{{"a", 5, true}}, 5});
    CHECK(own.note({"a", 9, false}));
    CHECK_FALSE(own.note({"a", 5, true}));
    CHECK_FALSE(own.merge({{{"a", 8, true}}, 8}));
    CHECK(own.evacuated_zones().empty());
}

// Guards against an evacuation that is lost where the list that lacks it was
// read before it.
TEST_CASE("a list read before an evacuation does not end it")
{
    zone_evacuations own = knowing({{{"a", 7, true}}, 3});
    CHECK_FALSE(own.merge({{}, 6}));
    CHECK(own.evacuated_zones() == zones{"a"});
}

// Guards against a zone that stays unused where the word of its return was
// missed.
TEST_CASE("a whole list that lacks a zone takes it back")
{
    zone_evacuations own = knowing({{{"a", 7, true}, {"b", 8, true}}, 8});
    CHECK(own.merge({{{"b", 12, true}}, 12}));
    CHECK(own.evacuated_zones() == zones{"b"});
    SUBCASE("for good")
    {
        CHECK_FALSE(own.note({"a", 11, true}));
        CHECK(own.evacuated_zones() == zones{"b"});
    }
}

// Guards against a restarted process that ends an evacuation it has not heard
// of.
TEST_CASE("an entry that knows nothing yet takes nothing back")
{
    zone_evacuations own = knowing({{{"a", 7, true}}, 7});
    CHECK_FALSE(own.merge(zone_evacuations().snapshot()));
    CHECK(own.evacuated_zones() == zones{"a"});
}

TEST_CASE("what one entry knows makes another know the same")
{
    const zone_evacuations own =
        knowing({{{"a", 7, true}, {"b", 9, false}, {"c", 4, true}}, 8});
    zone_evacuations other = knowing({{{"b", 6, true}}, 2});
    other.merge(own.snapshot());
    CHECK(other == own);
}

// Guards against work for targets of an evacuated zone, by whatever list.
TEST_CASE("targets of an evacuated zone get nothing until it is taken back")
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
