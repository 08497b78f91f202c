#include "decision/streams/origin_records.hpp"
#include "decision/streams/software_version.hpp"
#include "decision/streams/version_history.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr instant start{1h};
const stream_origin first_version{"chat", "v1"};
const stream_origin second_version{"chat", "v2"};

origin_records::record record_of(const stream_origin& origin,
                                 duration lifetime = 10s)
{
    return {origin, start, start + lifetime, false};
}

stream_key key_of(const std::string& request)
{
    return make_stream_key("club", "h", "/chat/", request);
}

std::vector<std::string> addresses(int count)
{
    std::vector<std::string> result;
    for (int number = 0; number < count; ++number)
        result.push_back("10.0.0." + std::to_string(number) + ":80");
    return result;
}

} // namespace

// Guards against streams of one caller that another one continues or learns of.
TEST_CASE("streams of other accounts, paths and requests have other keys")
{
    const auto key = make_stream_key("club", "h", "/chat/", "r1");
    CHECK(key != make_stream_key("other", "h", "/chat/", "r1"));
    CHECK(key != make_stream_key("club", "i", "/chat/", "r1"));
    CHECK(key != make_stream_key("club", "h", "/note/", "r1"));
    CHECK(key != make_stream_key("club", "h", "/chat/", "r2"));
    CHECK(key != make_stream_key("clubh", "", "/chat/", "r1"));
}

// Guards against memory that grows with the number of streams.
TEST_CASE("records end with their lifetime, and their number is bounded")
{
    origin_records records(2);
    records.note(key_of("r1"), record_of(first_version, 10s));
    records.note(key_of("r2"), record_of(first_version, 20s));
    CHECK(records.find(key_of("r1"), start + 9s) != nullptr);
    CHECK(records.find(key_of("r1"), start + 10s) == nullptr);
    records.note(key_of("r3"), record_of(first_version, 30s));
    CHECK(records.size() == 2);
    CHECK(records.find(key_of("r1"), start) == nullptr);
    records.expire(start + 20s);
    CHECK(records.size() == 1);
}

// Guards against a stream that can't go on because its caller came back several
// times.
TEST_CASE("a record that is noted again lives longer and is sent again")
{
    origin_records records;
    records.set_entries(addresses(5));
    records.note(key_of("r1"), record_of(first_version, 10s));
    const auto holders = records.take_new_holders(key_of("r1"));
    CHECK(holders.size() == origin_records::copies);
    CHECK(records.take_new_holders(key_of("r1")).empty());
    records.note(key_of("r1"), record_of(first_version, 25s));
    records.resend(key_of("r1"));
    CHECK(records.take_new_holders(key_of("r1")) == holders);
    records.expire(start + 20s);
    CHECK(records.find(key_of("r1"), start + 20s) != nullptr);
    // An older copy that arrives later does not shorten it.
    records.note(key_of("r1"), record_of(first_version, 15s));
    CHECK(records.find(key_of("r1"), start + 20s) != nullptr);
}

// Guards against a guess where a caller used a request id for two streams.
TEST_CASE("a record with two origins is marked, also by copies")
{
    origin_records records;
    records.note(key_of("r1"), record_of(first_version));
    records.note(key_of("r1"), record_of(second_version));
    REQUIRE(records.find(key_of("r1"), start) != nullptr);
    CHECK(records.find(key_of("r1"), start)->is_ambiguous);
    records.note(key_of("r2"), record_of(first_version));
    auto ambiguous = record_of(first_version);
    ambiguous.is_ambiguous = true;
    records.note(key_of("r2"), ambiguous);
    CHECK(records.find(key_of("r2"), start)->is_ambiguous);
}

// Guards against entries that keep the records of the whole fleet.
TEST_CASE("records are spread evenly, and few move when an entry leaves")
{
    constexpr int entries = 40;
    constexpr int streams = 4000;
    copy_placement placement;
    CHECK(placement.set_entries(addresses(entries)));
    CHECK_FALSE(placement.set_entries(addresses(entries)));
    std::map<std::string, int> kept;
    std::vector<std::vector<std::string>> before;
    for (int number = 0; number < streams; ++number)
    {
        before.push_back(placement.holders(key_of(std::to_string(number)), 3));
        for (const std::string& holder : before.back())
            ++kept[holder];
    }
    for (const auto& [holder, count] : kept)
    {
        CHECK(count > 200);
        CHECK(count < 400);
    }
    auto remaining = addresses(entries);
    const std::string left = remaining.back();
    remaining.pop_back();
    placement.set_entries(remaining);
    for (int number = 0; number < streams; ++number)
    {
        auto expected = before[static_cast<std::size_t>(number)];
        std::erase(expected, left);
        const auto holders =
            placement.holders(key_of(std::to_string(number)), 3);
        CHECK(holders.size() == 3);
        CHECK(std::equal(expected.begin(), expected.end(), holders.begin()));
    }
}

TEST_CASE("fewer entries than copies keep all records")
{
    copy_placement placement;
    CHECK(placement.holders(key_of("r1"), 3).empty());
    placement.set_entries(addresses(2));
    CHECK(placement.holders(key_of("r1"), 3).size() == 2);
}

// Guards against memory that a target fills with the name of its version.
TEST_CASE("long versions are shortened and stay different")
{
    CHECK(bounded_version("v1.2") == "v1.2");
    CHECK(bounded_version(std::string(100000, 'a')).size() <= 64);
    CHECK(bounded_version(std::string(100000, 'a')) !=
          bounded_version(std::string(100001, 'a')));
}

// Guards against a guess: a version is certain only if no other one can have
// begun a stream that still lives.
TEST_CASE("a single version is certain after the lifetime of a stream")
{
    version_history history;
    const auto only = [&](duration at)
    {
        history.note_up_to_date(start + at);
        return history.only_version("chat", 10s, start + at);
    };
    CHECK_FALSE(only(0s));
    history.note_gap(start);
    for (duration at{}; at <= 20s; at += 1s)
    {
        std::set<stream_origin> seen{first_version, {"other", "v7"}};
        if (at == 3s)
            seen.insert(second_version);
        history.note_versions(seen, start + at);
        CHECK(only(at).has_value() == (at > 14s));
    }
    CHECK(only(20s) == "v1");
    CHECK_FALSE(history.only_version("unknown", 10s, start + 20s));
    CHECK_FALSE(history.only_version("chat", 30min, start + 20s));
    history.note_versions({{"chat", ""}}, start + 20s);
    CHECK_FALSE(only(20s));
}

// Guards against the same where targets may have come and gone unseen.
TEST_CASE("a version is not certain for a while after a gap in the list")
{
    version_history history;
    history.note_gap(start);
    history.note_versions({first_version}, start + 20s);
    history.note_up_to_date(start + 20s);
    CHECK(history.only_version("chat", 10s, start + 20s));
    history.note_gap(start + 20s);
    history.note_versions({first_version}, start + 30s);
    history.note_up_to_date(start + 31s);
    CHECK_FALSE(history.only_version("chat", 10s, start + 30s));
    CHECK(history.only_version("chat", 10s, start + 31s));
}

// Guards against streams that end with their entries, and against more copies
// than the loss of all entries and of one record keeper needs.
TEST_CASE("a record is sent to two record keepers and to one other entry")
{
    origin_records records;
    records.set_entries(addresses(5));
    const std::vector<std::string> keepers{"k1", "k2", "k3", "k4", "k5"};
    records.set_keepers(keepers, {keepers.begin(), keepers.end()});
    records.note(key_of("r1"), record_of(first_version));
    const auto holders = records.take_new_holders(key_of("r1"));
    CHECK(holders.size() == origin_records::copies_beside_keepers +
                                origin_records::keeper_copies);
    CHECK(std::ranges::count_if(holders, [](const std::string& holder)
                                { return holder.front() == 'k'; }) == 2);
    for (const std::string& holder : holders)
        CHECK(std::ranges::count(records.likely_holders(key_of("r1")),
                                 holder) == 1);
    // A keeper that was lost is sent the record again, or another one is.
    records.note_lost(holders.back());
    CHECK(records.take_new_holders(key_of("r1")) ==
          std::vector{holders.back()});
    records.set_keepers({}, {});
    CHECK(records.take_new_holders(key_of("r1")).size() ==
          origin_records::copies - origin_records::copies_beside_keepers);
}

namespace
{

version_observation observed(instant since, instant until,
                             const stream_origin& origin)
{
    return {since, until, {{origin, until}}, 7};
}

} // namespace

// Guards against streams that are refused after a loss of all entries although
// one version has served all the time.
TEST_CASE("what entries saw before their loss counts after it")
{
    version_history history;
    history.note_gap(start);
    history.note_versions({first_version}, start);
    history.note_up_to_date(start + 1s);
    CHECK_FALSE(history.only_version("chat", 20s, start + 1s));
    history.merge(observed(start - 40s, start - 5s, first_version));
    CHECK(history.unread_after() == 7);
    history.note_read(7, {first_version});
    CHECK_FALSE(history.is_unread());
    CHECK(history.only_version("chat", 20s, start + 1s) == "v1");
    CHECK(history.observation()->since == start - 40s);
}

// Guards against a version that came and went between two spans, before anyone
// was told of it.
TEST_CASE("a time that nobody watched counts once its changes were read")
{
    version_history history;
    history.note_gap(start, 9);
    history.note_versions({first_version}, start);
    history.note_up_to_date(start + 1s);
    history.merge(observed(start - 40s, start - 1ns, first_version));
    CHECK_FALSE(history.only_version("chat", 20s, start + 1s));
    history.note_read(7, {second_version});
    CHECK(history.observation()->since == start - 40s);
    CHECK(history.has_other_version(first_version, 0s, start + 1s));
    CHECK_FALSE(history.only_version("chat", 20s, start + 1s));
}

// Guards against a version that left between two spans: its removal does not
// name it, so it may have served until the second one.
TEST_CASE("what had targets at the end of a span may have served after it")
{
    version_history history;
    history.note_gap(start, 9);
    history.note_versions({first_version}, start);
    history.merge(observed(start - 40s, start - 9s, second_version));
    history.note_read(7, {});
    CHECK(history.observation()->last_seen.at(second_version) == start);
}

// Guards against spans that are joined although the changes between them are
// lost, or can't be asked for.
TEST_CASE("changes that can't be read join no spans")
{
    version_history history;
    history.note_gap(start, 9);
    version_observation earlier =
        observed(start - 40s, start - 5s, first_version);
    earlier.revision = 0; // Of a release before.
    history.merge(earlier);
    CHECK_FALSE(history.is_unread());
    earlier.revision = 7;
    history.merge(earlier);
    history.note_unreadable(7);
    CHECK_FALSE(history.unread_after());
    CHECK(history.is_unread());
    CHECK(history.observation()->since == start);
    // A later one has no gap before this span, or is newer than what is lost.
    earlier.revision = 8;
    earlier.since = start - 30s;
    history.merge(earlier);
    CHECK(history.unread_after() == 8);
    history.merge(observed(start - 20s, start, first_version));
    CHECK_FALSE(history.unread_after());
    CHECK(history.observation()->since == start - 30s);
    history.note_read(7, {});
    CHECK(history.observation()->since == start - 30s);
}

// Guards against an entry that has just started and tells record keepers of its
// short span before it has read what was missed.
TEST_CASE("a record keeper keeps a span until the next one can be added")
{
    version_history history;
    history.merge(observed(start - 60s, start, first_version));
    history.merge(observed(start + 3s, start + 9s, first_version));
    CHECK(history.observation()->since == start - 60s);
    CHECK(history.observation()->until == start);
    history.merge(observed(start - 60s, start + 10s, first_version));
    CHECK(history.observation()->since == start - 60s);
    CHECK(history.observation()->until == start + 10s);
    history.merge(observed(start + 15s, start + 21s, first_version));
    CHECK(history.observation()->since == start + 15s);
}

// Guards against a guess: another version has served before the loss, or may
// have served unseen.
TEST_CASE("what entries saw before their loss is never too little")
{
    version_history history;
    history.note_gap(start);
    history.note_versions({first_version}, start);
    history.note_up_to_date(start + 20s);
    history.merge(observed(start - 40s, start - 11s, first_version));
    CHECK_FALSE(history.only_version("chat", 20s, start + 1s));
    CHECK_FALSE(history.is_unread());
    history.merge(observed(start - 40s, start - 5s, second_version));
    history.note_read(7, {});
    CHECK_FALSE(history.only_version("chat", 20s, start + 1s));
    // The second version may have served until this entry started.
    history.note_versions({first_version}, start + 20s);
    CHECK_FALSE(history.only_version("chat", 19s, start + 20s));
    CHECK(history.only_version("chat", 18s, start + 20s) == "v1");
    // A later observation of a shorter span takes nothing away.
    history.merge(observed(start - 1s, start, first_version));
    CHECK(history.observation()->since == start - 40s);
}

// Guards against a gap that a span after it hides.
TEST_CASE("a span that began after a long gap replaces the one before")
{
    version_history history;
    history.merge(observed(start - 60s, start - 30s, first_version));
    history.merge(observed(start - 5s, start, first_version));
    CHECK(history.observation()->since == start - 5s);
    history.merge(observed(start - 60s, start - 30s, second_version));
    CHECK(history.observation()->since == start - 5s);
    history.note_up_to_date(start);
    CHECK_FALSE(history.only_version("chat", 40s, start));
}

// Guards against a record with one copy: hosts without a record keeper count as
// ones that keep it.
TEST_CASE("unconfirmed record keepers replace no copies at entries")
{
    origin_records records;
    records.set_entries(addresses(5));
    const std::vector<std::string> keepers{"k1", "k2"};
    CHECK(records.set_keepers(keepers, {"k1"}));
    records.note(key_of("r1"), record_of(first_version));
    CHECK(records.take_new_holders(key_of("r1")).size() ==
          origin_records::copies + origin_records::keeper_copies);
    CHECK_FALSE(records.set_keepers(keepers, {"k1", "k2"}));
    records.note(key_of("r2"), record_of(first_version));
    CHECK(records.take_new_holders(key_of("r2")).size() == 3);
    CHECK(records.set_keepers(keepers, {"k2"}));
    CHECK(records.take_new_holders(key_of("r2")).size() == 2);
}

// Guards against a version that another entry, whose list lags, takes for the
// only one.
TEST_CASE("a version that was seen lately speaks against another one")
{
    version_history history;
    history.note_versions({first_version, second_version}, start);
    CHECK(history.has_other_version(first_version, 20s, start + 15s));
    CHECK_FALSE(history.has_other_version(first_version, 20s, start + 22s));
    CHECK_FALSE(history.has_other_version({"note", "v1"}, 20s, start));
}

// Guards against a version that joined after the list was last up to date.
TEST_CASE("no version is certain after the last list")
{
    version_history history;
    history.note_gap(start);
    history.note_versions({first_version}, start + 30s);
    history.note_up_to_date(start + 30s);
    CHECK(history.only_version("chat", 10s, start + 30s));
    CHECK_FALSE(history.only_version("chat", 10s, start + 30s + 1ns));
    CHECK(history.only_seen_version("chat", 10s, start + 40s));
}

// Guards against an answer of an entry whose list is older than this one's
// span, or that does not show a version known here.
TEST_CASE("another entry's answer counts where the spans leave no gap")
{
    version_history history;
    history.note_gap(start);
    history.note_versions({first_version}, start + 2s);
    history.note_up_to_date(start + 2s);
    const auto confirms = [&](duration until, duration taken_up_at)
    {
        return history.confirms({"v1", start + until}, "chat", 10s,
                                start + taken_up_at);
    };
    CHECK(confirms(0s, 2s));
    CHECK_FALSE(confirms(-1ns, 2s));
    CHECK_FALSE(confirms(2s, 3s));
    history.note_versions({second_version}, start + 2s);
    CHECK_FALSE(confirms(0s, 2s));
}

// Guards against a span without a gap that hides missed changes of the list.
TEST_CASE("nothing is told of a list whose changes were missed")
{
    version_history history;
    history.note_gap(start);
    history.note_versions({first_version}, start + 30s);
    CHECK(history.observation()->until == start);
    history.note_up_to_date(start + 20s);
    CHECK(history.observation()->until == start + 20s);
    history.note_missed();
    history.note_up_to_date(start + 30s);
    CHECK_FALSE(history.observation());
    CHECK_FALSE(history.only_version("chat", 10s, start + 30s));
}

// Guards against a stream that goes on although its caller used a request id
// twice, or that is forgotten early, since its record moved.
TEST_CASE("records that are read and adopted stay what they are")
{
    origin_records keeper;
    keeper.note(key_of("r1"), record_of(first_version, 10s));
    keeper.note(key_of("r2"), record_of(first_version, 10s));
    std::uint64_t last = 0;
    CHECK(keeper.changes_after(last, 10).size() == 2);
    CHECK(keeper.changes_after(last, 10).empty());
    keeper.note(key_of("r1"), record_of(second_version, 10s));
    keeper.note(key_of("r2"), record_of(first_version, 25s));
    const auto changes = keeper.changes_after(last, 10);
    REQUIRE(changes.size() == 2);
    origin_records entry;
    for (const auto& [key, known] : changes)
        entry.adopt(key, known, "k", start);
    CHECK(entry.find(key_of("r1"), start)->is_ambiguous);
    CHECK(entry.find(key_of("r2"), start + 24s)->origin == first_version);
    keeper.expire(start + 30s);
    last = 0;
    CHECK(keeper.changes_after(last, 10).empty());
}

// Guards against copies that are sent to holders which already have them, and
// against handed-over records that lookups by key do not find.
TEST_CASE("adopted records are placed if their holders may lack them")
{
    const auto keepers = addresses(5);
    origin_records entry;
    entry.set_keepers(keepers, {keepers.begin(), keepers.end()});
    const auto known = record_of(first_version);
    for (const std::string& keeper : keepers)
    {
        const auto key = key_of(keeper);
        const auto holders =
            entry.keepers_for(key, origin_records::keeper_copies);
        const bool is_holder = std::ranges::count(holders, keeper) == 1;
        CHECK(entry.adopt(key, known, keeper, start) != is_holder);
        CHECK(entry.take_new_holders(key).empty() == is_holder);
        CHECK_FALSE(entry.adopt(key, known, keeper, start));
        CHECK(entry.adopt(key_of("old" + keeper), known, keeper, start + 1s));
    }
}
