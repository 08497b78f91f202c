#include "decision/target_directory.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

listed_target target(const std::string& id, std::uint64_t revision,
                     bool is_leaving = false)
{
    return {id, "rerank", "10.0.0.1:80", "a", 4, is_leaving, revision};
}

const instant start{1h};

listed_target started(listed_target listed, std::uint64_t start_ms)
{
    listed.incarnation.started_ms = start_ms;
    return listed;
}

target_directory available_directory()
{
    target_directory directory;
    directory.set_source_available(true, start);
    return directory;
}

} // namespace

// Guards against requests to a target that announced that it is leaving: a
// peer, or a list read earlier, still has the target as serving, and this older
// update arrives last.
TEST_CASE("an older update about a target does not override a newer one")
{
    target_directory directory = available_directory();
    directory.note(target("t1", 5, true));
    CHECK_FALSE(directory.note(target("t1", 4)));
    CHECK(directory.serving("rerank").empty());
    // Nor does a newer revision: a target that left never serves again.
    directory.note(target("t1", 6));
    CHECK(directory.serving("rerank").empty());
}

TEST_CASE("a removed target is not restored by an older update")
{
    target_directory directory = available_directory();
    directory.note(target("t1", 5));
    directory.note_removed("t1", 7, start);
    CHECK_FALSE(directory.note(target("t1", 6)));
    CHECK(directory.find("t1") == nullptr);
}

// Guards against requests refused for lack of targets although all of them are
// up: list entries expire during an outage of the source, the source returns
// without them, and the targets take up to two seconds to register again.
TEST_CASE("entries that expire during an outage are kept for a while")
{
    target_directory directory = available_directory();
    directory.note(target("lives", 5));
    directory.note(target("died", 6));
    directory.set_source_available(false, start + 1s);
    directory.note_full_list({}, 9, start + 6s);
    directory.set_source_available(true, start + 6s);
    CHECK(directory.serving("rerank").size() == 2);

    directory.note(target("lives", 10));
    directory.expire(start + 6s + target_directory::reregistration_time - 1ms);
    CHECK(directory.find("died") != nullptr);
    directory.expire(start + 6s + target_directory::reregistration_time);
    CHECK(directory.find("died") == nullptr);
    CHECK(directory.find("lives") != nullptr);
}

TEST_CASE(
    "a removed target that was leaving is dropped at once during an outage")
{
    target_directory directory = available_directory();
    directory.note(target("t1", 5, true));
    directory.set_source_available(false, start + 1s);
    directory.note_removed("t1", 8, start + 2s);
    CHECK(directory.find("t1") == nullptr);
}

TEST_CASE("a removal takes effect at once while the source is available")
{
    target_directory directory = available_directory();
    directory.note(target("t1", 5));
    directory.note_removed("t1", 8, start + 1s);
    CHECK(directory.find("t1") == nullptr);
}

// Guards against requests to a target that is gone from an entry that cannot
// read the list: a peer that can reports the removal. Handled as an expired
// entry, the target would be kept until the source is back.
TEST_CASE("a removal that a peer confirms takes effect during an outage")
{
    target_directory directory = available_directory();
    directory.note(target("t1", 5));
    directory.set_source_available(false, start + 1s);
    directory.note_confirmed_removal("t1", 8);
    CHECK(directory.find("t1") == nullptr);
}

TEST_CASE("directories with the same content have the same digest")
{
    target_directory first = available_directory();
    target_directory second = available_directory();
    first.note(target("t1", 5));
    first.note(target("t2", 6));
    second.note(target("t2", 6));
    CHECK(first.digest() != second.digest());
    second.note(target("t1", 5));
    CHECK(first.digest() == second.digest());
    second.note(target("t1", 7, true));
    CHECK(first.digest() != second.digest());
}

TEST_CASE("a full list removes missing targets, except those added later")
{
    target_directory directory = available_directory();
    directory.note(target("old", 3));
    directory.note(target("late", 20));
    directory.note_full_list({target("t1", 4)}, 10, start);
    CHECK(directory.find("old") == nullptr);
    CHECK(directory.find("late") != nullptr);
    CHECK(directory.find("t1") != nullptr);
}

// Guards against a restarted target that gets no requests: the target announces
// that it is leaving, ends, and registers again under the same id, but leaving
// was recorded for the id and not for the incarnation.
TEST_CASE("a target that restarts under its id serves again")
{
    target_directory directory = available_directory();
    directory.note(started(target("t1", 5, true), 100));
    directory.note(started(target("t1", 6), 200));
    CHECK(directory.find({"t1", 200}) != nullptr);
    CHECK(directory.find({"t1", 100}) == nullptr);
    // A late update does not make the former incarnation serve.
    directory.note(started(target("t1", 7), 100));
    CHECK(directory.find({"t1", 100}) == nullptr);
    CHECK(directory.find({"t1", 200}) == nullptr);
    directory.note(started(target("t1", 8), 200));
    CHECK(directory.find({"t1", 200}) != nullptr);
}

TEST_CASE("a former incarnation of a target is not found")
{
    target_directory directory = available_directory();
    directory.note(started(target("t1", 5), 100));
    directory.note(started(target("t1", 6), 200));
    CHECK(directory.find({"t1", 100}) == nullptr);
    REQUIRE(directory.serving("rerank").size() == 1);
    CHECK(directory.serving("rerank")[0]->incarnation.started_ms == 200);
}

// Guards against requests to the address of an entry that was overwritten,
// where another server may listen by now.
TEST_CASE("an entry that becomes unreadable is not used until it is readable")
{
    target_directory directory = available_directory();
    directory.note(target("t1", 5));
    directory.note(target("t2", 5));
    CHECK(directory.note_unreadable("t1", 6));
    CHECK_FALSE(directory.note_unreadable("t1", 6));
    CHECK(directory.find("t1") == nullptr);
    CHECK(directory.find("t2") != nullptr);
    // Not even during an outage, unlike an entry that expired.
    directory.set_source_available(false, start);
    directory.note(target("t3", 7));
    CHECK(directory.note_unreadable("t3", 8));
    CHECK(directory.find("t3") == nullptr);
    CHECK_FALSE(directory.note(target("t1", 5)));
    CHECK(directory.note(target("t1", 9)));
    CHECK(directory.find("t1") != nullptr);
}

// Guards against requests to a target that was removed long ago: an entry
// starts and reads the full list, and then a peer that cannot read the list
// reports the removed target.
TEST_CASE("a peer cannot restore a target that the full list lacks")
{
    target_directory directory = available_directory();
    directory.note_full_list({target("t1", 5)}, 9, start);
    directory.expire(start + target_directory::reregistration_time);
    CHECK_FALSE(directory.note(target("gone", 8)));
    CHECK(directory.find("gone") == nullptr);
    // The peer then receives the removal.
    const auto all = directory.all();
    REQUIRE(all.size() == 2);
    CHECK(all[0].incarnation.id == "gone");
    CHECK(all[0].address.empty());
    CHECK(all[0].revision == 9);
    CHECK(directory.note(target("gone", 10)));
    CHECK(directory.find("gone") != nullptr);
}

// Guards against requests to a removed target for seconds after an outage: the
// target left while this entry was cut off, so this entry assumes that the list
// entry expired, but peers saw the removal.
TEST_CASE("a target that seemed to expire is dropped once peers saw it leave")
{
    for (const bool has_left : {true, false})
    {
        target_directory directory = available_directory();
        directory.note(target("t1", 5));
        directory.set_source_available(false, start + 1s);
        directory.set_source_available(true, start + 5s);
        directory.note_full_list({}, 9, start + 5s);
        REQUIRE(directory.find("t1") != nullptr);
        if (has_left)
            directory.note(target("t1", 7, true));
        else
            directory.note_confirmed_removal("t1", 8);
        CHECK(directory.find("t1") == nullptr);
    }
}

// Guards against reporting an expired entry to peers as newer than it is.
TEST_CASE("a target that seemed to expire is reported as it was listed")
{
    target_directory directory = available_directory();
    directory.note(target("t1", 5));
    directory.set_source_available(false, start + 1s);
    directory.note_removed("t1", 9, start + 2s);
    REQUIRE(directory.all().size() == 1);
    CHECK(directory.all()[0].revision == 5);
    target_directory peer = available_directory();
    peer.note_removed("t1", 9, start);
    CHECK_FALSE(peer.note(directory.all()[0]));
}

// Guards against requests to a target that left: a late writer lists the target
// as serving again, and an entry that read only this list entry receives the
// older update from a peer that saw the target leave.
TEST_CASE("an update that a target is leaving counts even if it is not newer")
{
    target_directory directory = available_directory();
    directory.note(target("t1", 9));
    CHECK(directory.note(target("t1", 9, true)));
    CHECK(directory.find("t1") == nullptr);
    CHECK_FALSE(directory.note(target("t1", 9, true)));
}

// Guards against a removal just before the end of the reregistration time that
// kept the target for as long again.
TEST_CASE("expired targets are dropped a fixed time after the source's return")
{
    target_directory directory = available_directory();
    directory.note(target("t1", 5));
    directory.set_source_available(false, start + 1s);
    directory.set_source_available(true, start + 5s);
    directory.note_removed("t1", 9, start + 7s);
    CHECK(directory.find("t1") != nullptr);
    directory.expire(start + 5s + target_directory::reregistration_time);
    CHECK(directory.find("t1") == nullptr);
}

// Guards against a whole service without targets for seconds after an outage of
// the store: list entries expire during the outage, an entry that just started
// reads the list without them, treats the targets that its peers report as
// removed, and reports the removals to the peers.
TEST_CASE("a target missing from a list that just returned may have expired")
{
    target_directory directory = available_directory();
    directory.note_full_list({target("t1", 5)}, 9, start);
    CHECK(directory.note(target("lives", 8)));
    CHECK(directory.find("lives") != nullptr);
    // Peers get back the revision that they reported.
    CHECK(directory.all()[0].revision == 8);
    CHECK(directory.note(target("lives", 11)));
    CHECK(directory.note(target("died", 7)));
    directory.expire(start + target_directory::reregistration_time);
    CHECK(directory.find("lives") != nullptr);
    CHECK(directory.find("died") == nullptr);
}

// Guards against a target that has announced that it is leaving and is used
// again because the list still describes it as serving.
TEST_CASE("a target that announced that it is leaving stays out of service")
{
    target_directory targets;
    targets.note({{"t", 1}, "s", "a:1", "z", 1, false, 1});
    const std::uint64_t digest = targets.digest();
    CHECK(targets.note_announced_leaving({"t", 1}));
    CHECK_FALSE(targets.note_announced_leaving({"t", 1}));
    CHECK(targets.serving("s").empty());
    CHECK(targets.find({"t", 1}) == nullptr);
    CHECK(targets.is_leaving({"t", 1}));
    CHECK(targets.digest() == digest);
    targets.note({{"t", 1}, "s", "a:1", "z", 1, false, 2});
    CHECK(targets.serving("s").empty());
    targets.note({{"t", 2}, "s", "a:1", "z", 1, false, 3});
    CHECK(targets.serving("s").size() == 1);
    CHECK_FALSE(targets.note_announced_leaving("unknown"));
}

// Guards against a stream that goes on at another version because a version is
// taken to belong to an id: the target restarted under its id.
TEST_CASE("a version belongs to an incarnation")
{
    target_directory targets;
    targets.note({{"t", 1}, "s", "a:1", "z", 1, false, 1, {}, "v1"});
    CHECK(targets.version_of({"t", 1}) == "v1");
    targets.note({{"t", 1}, "s", "a:1", "z", 1, true, 2, {}, "v1"});
    CHECK(targets.version_of({"t", 1}) == "v1");
    targets.note({{"t", 2}, "s", "a:1", "z", 1, false, 3, {}, "v2"});
    CHECK(targets.version_of({"t", 1}).empty());
    CHECK(targets.version_of({"t", 2}) == "v2");
    // Its last streams outlive its entry.
    targets.note_confirmed_removal("t", 4);
    CHECK(targets.version_of({"t", 2}) == "v2");
    CHECK(targets.take_seen_versions() ==
          std::set<stream_origin>{{"s", "v1"}, {"s", "v2"}});
    CHECK(targets.take_seen_versions().empty());
}

// Guards against a guess where the list shows two versions for one incarnation:
// a target that does not state its start has restarted, or another writer
// changed the entry.
TEST_CASE("an incarnation listed with two versions has none")
{
    target_directory targets;
    targets.note({{"t", 0}, "s", "a:1", "z", 1, false, 1, {}, "v1"});
    targets.note({{"t", 0}, "s", "a:1", "z", 1, false, 2, {}, "v2"});
    CHECK(targets.version_of("t").empty());
    targets.note({{"t", 0}, "s", "a:1", "z", 1, false, 3, {}, "v2"});
    CHECK(targets.version_of("t").empty());
    targets.note({{"t", 8}, "s", "a:1", "z", 1, false, 4, {}, "v2"});
    CHECK(targets.version_of({"t", 8}) == "v2");
}

// Guards against streams that can't go on since an entry of an older program,
// which passes on targets without versions, was faster than the list.
TEST_CASE("a version that another entry left out is completed from the list")
{
    target_directory targets;
    targets.note({{"t", 1}, "s", "a:1", "z", 1, false, 5});
    CHECK(targets.note({{"t", 1}, "s", "a:1", "z", 1, false, 5, {}, "v1"}));
    CHECK(targets.version_of({"t", 1}) == "v1");
    CHECK_FALSE(
        targets.note({{"t", 1}, "s", "a:1", "z", 1, false, 5, {}, "v1"}));
    targets.note({{"t", 1}, "s", "a:1", "z", 1, false, 6});
    CHECK(targets.version_of({"t", 1}) == "v1");
}
