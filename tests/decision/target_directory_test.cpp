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

listed_target born(listed_target one, std::uint64_t when)
{
    one.incarnation.started_ms = when;
    return one;
}

target_directory settled()
{
    target_directory directory;
    directory.set_source_available(true, start);
    return directory;
}

} // namespace

// A caller's request is sent to a target that said it is leaving.
// 1. The list says that a target leaves. 2. A peer, or a list read earlier,
// still has it as serving. 3. The older word arrives last and wins.
TEST_CASE("an older word about a target does not undo a newer one")
{
    target_directory directory = settled();
    directory.note(target("t1", 5, true));
    CHECK_FALSE(directory.note(target("t1", 4)));
    CHECK(directory.serving("rerank").empty());
    // Nor does a newer number: a target that leaves never serves again.
    directory.note(target("t1", 6));
    CHECK(directory.serving("rerank").empty());
}

TEST_CASE("a removed target stays away, whoever still lists it")
{
    target_directory directory = settled();
    directory.note(target("t1", 5));
    directory.note_removed("t1", 7, start);
    CHECK_FALSE(directory.note(target("t1", 6)));
    CHECK(directory.find("t1") == nullptr);
}

// Callers get "no target" although all targets live.
// 1. The list goes away; its entries run out meanwhile. 2. It comes back
// without them. 3. The targets register again, but within two seconds only.
TEST_CASE("entries that lapse while the list is away are kept for a while")
{
    target_directory directory = settled();
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

TEST_CASE("a target that left is gone at once, also while the list is away")
{
    target_directory directory = settled();
    directory.note(target("t1", 5, true));
    directory.set_source_available(false, start + 1s);
    directory.note_removed("t1", 8, start + 2s);
    CHECK(directory.find("t1") == nullptr);
}

TEST_CASE("a removal while the list is in order holds at once")
{
    target_directory directory = settled();
    directory.note(target("t1", 5));
    directory.note_removed("t1", 8, start + 1s);
    CHECK(directory.find("t1") == nullptr);
}

// An entry that can't reach the list sends requests to a target that is gone.
// 1. It is cut off from the list. 2. A peer that reads the list says that the
// target is gone. 3. Taken for a lapse, the target would be kept until the
// list is back.
TEST_CASE("a peer whose list is in order is believed about a removal")
{
    target_directory directory = settled();
    directory.note(target("t1", 5));
    directory.set_source_available(false, start + 1s);
    directory.note_confirmed_removal("t1", 8);
    CHECK(directory.find("t1") == nullptr);
}

TEST_CASE("directories that know the same have the same digest")
{
    target_directory one = settled();
    target_directory other = settled();
    one.note(target("t1", 5));
    one.note(target("t2", 6));
    other.note(target("t2", 6));
    CHECK(one.digest() != other.digest());
    other.note(target("t1", 5));
    CHECK(one.digest() == other.digest());
    other.note(target("t1", 7, true));
    CHECK(one.digest() != other.digest());
}

TEST_CASE("what the whole list lacks is removed, but not what came later")
{
    target_directory directory = settled();
    directory.note(target("old", 3));
    directory.note(target("late", 20));
    directory.note_full_list({target("t1", 4)}, 10, start);
    CHECK(directory.find("old") == nullptr);
    CHECK(directory.find("late") != nullptr);
    CHECK(directory.find("t1") != nullptr);
}

// A target that starts again under its id gets no work.
// 1. It says that it leaves, and ends. 2. It starts again under the same id
// and registers. 3. Having been seen leaving counted against the id for good.
TEST_CASE("a target that starts again under its id serves again")
{
    target_directory directory = settled();
    directory.note(born(target("t1", 5, true), 100));
    directory.note(born(target("t1", 6), 200));
    CHECK(directory.find({"t1", 200}) != nullptr);
    CHECK(directory.find({"t1", 100}) == nullptr);
    // A late word of the former start does not make that one serve.
    directory.note(born(target("t1", 7), 100));
    CHECK(directory.find({"t1", 100}) == nullptr);
    CHECK(directory.find({"t1", 200}) == nullptr);
    directory.note(born(target("t1", 8), 200));
    CHECK(directory.find({"t1", 200}) != nullptr);
}

TEST_CASE("work meant for a former start of a target finds none")
{
    target_directory directory = settled();
    directory.note(born(target("t1", 5), 100));
    directory.note(born(target("t1", 6), 200));
    CHECK(directory.find({"t1", 100}) == nullptr);
    REQUIRE(directory.serving("rerank").size() == 1);
    CHECK(directory.serving("rerank")[0]->incarnation.started_ms == 200);
}

// A request reaches whatever stands at an address that somebody wrote over.
TEST_CASE("a good entry that turns bad is not used until it is good again")
{
    target_directory directory = settled();
    directory.note(target("t1", 5));
    directory.note(target("t2", 5));
    CHECK(directory.note_unreadable("t1", 6));
    CHECK_FALSE(directory.note_unreadable("t1", 6));
    CHECK(directory.find("t1") == nullptr);
    CHECK(directory.find("t2") != nullptr);
    // Not even where the list is away, as an entry that ran out would be.
    directory.set_source_available(false, start);
    directory.note(target("t3", 7));
    CHECK(directory.note_unreadable("t3", 8));
    CHECK(directory.find("t3") == nullptr);
    CHECK_FALSE(directory.note(target("t1", 5)));
    CHECK(directory.note(target("t1", 9)));
    CHECK(directory.find("t1") != nullptr);
}

// A request reaches a target that was removed long ago.
// 1. A target is removed. 2. An entry starts and reads the whole list. 3. An
// entry that cannot reach the list tells it of the target.
TEST_CASE("what a whole list lacks is not news from others")
{
    target_directory directory = settled();
    directory.note_full_list({target("t1", 5)}, 9, start);
    directory.expire(start + target_directory::reregistration_time);
    CHECK_FALSE(directory.note(target("gone", 8)));
    CHECK(directory.find("gone") == nullptr);
    // The other entry is told that it is gone.
    const auto all = directory.all();
    REQUIRE(all.size() == 2);
    CHECK(all[0].incarnation.id == "gone");
    CHECK(all[0].address.empty());
    CHECK(all[0].revision == 9);
    CHECK(directory.note(target("gone", 10)));
    CHECK(directory.find("gone") != nullptr);
}

// A target that is gone gets work for seconds after the list is back.
// 1. An entry is cut off; a target leaves and is removed. 2. The entry is back
// and takes what the list lacks for run out. 3. Others saw it go.
TEST_CASE("a target that seemed to run out is gone once others saw it go")
{
    for (const bool has_left : {true, false})
    {
        target_directory directory = settled();
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

// Others are told of a target that ran out here as if it had been listed.
TEST_CASE("a target that seemed to run out is told as it was listed")
{
    target_directory directory = settled();
    directory.note(target("t1", 5));
    directory.set_source_available(false, start + 1s);
    directory.note_removed("t1", 9, start + 2s);
    REQUIRE(directory.all().size() == 1);
    CHECK(directory.all()[0].revision == 5);
    target_directory other = settled();
    other.note_removed("t1", 9, start);
    CHECK_FALSE(other.note(directory.all()[0]));
}

// A target that left gets work again from entries that did not hear of it.
// 1. It says that it leaves. 2. A late writer lists it as serving. 3. An entry
// that only read the list then is told by one that saw it leave.
TEST_CASE("having left is news also where the word of it is not newer")
{
    target_directory directory = settled();
    directory.note(target("t1", 9));
    CHECK(directory.note(target("t1", 9, true)));
    CHECK(directory.find("t1") == nullptr);
    CHECK_FALSE(directory.note(target("t1", 9, true)));
}

// What seemed to run out late after the list's return stayed for as long again.
TEST_CASE("what seemed to run out ends a fixed time after the list's return")
{
    target_directory directory = settled();
    directory.note(target("t1", 5));
    directory.set_source_available(false, start + 1s);
    directory.set_source_available(true, start + 5s);
    directory.note_removed("t1", 9, start + 7s);
    CHECK(directory.find("t1") != nullptr);
    directory.expire(start + 5s + target_directory::reregistration_time);
    CHECK(directory.find("t1") == nullptr);
}

// A whole service is without targets for seconds after the store's return.
// 1. The store is away, its entries run out. 2. An entry that has just started
// reads the list without them. 3. It took what the others tell of them for
// gone, and told them so.
TEST_CASE("what a list lacks that has just come back may have run out")
{
    target_directory directory = settled();
    directory.note_full_list({target("t1", 5)}, 9, start);
    CHECK(directory.note(target("lives", 8)));
    CHECK(directory.find("lives") != nullptr);
    // Others are told no more than they said.
    CHECK(directory.all()[0].revision == 8);
    CHECK(directory.note(target("lives", 11)));
    CHECK(directory.note(target("died", 7)));
    directory.expire(start + target_directory::reregistration_time);
    CHECK(directory.find("lives") != nullptr);
    CHECK(directory.find("died") == nullptr);
}
