#include "serving/stream_messages.hpp"
#include "support/entry_with_keepers.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;

namespace
{

const decision::stream_origin origin{"events", "v1"};

decision::stream_key key_of(int number)
{
    return decision::make_stream_key("club", "h", "/events/",
                                     std::to_string(number));
}

} // namespace

// Guards against streams that are unknown when their callers return: after the
// loss of all entries, the keepers of their records left one after the other.
TEST_CASE("records outlive the loss of all entries and a release of keepers")
{
    constexpr int streams = 40;
    constexpr int hosts = 6;
    const runtime::paused_clock keeper_time;
    keeper_map keepers;
    for (int number = 0; number < hosts; ++number)
        start_keeper(keepers, keeper_time, number);
    {
        entry_with_keepers lost(keepers);
        for (int number = 0; number < streams; ++number)
            lost.streams.record(key_of(number), origin, 20s);
        lost.maintain_for(1s);
    }
    entry_with_keepers entry(keepers);
    entry.maintain_for(2s);
    for (int number = 0; number < hosts; ++number)
    {
        keepers.erase("k" + std::to_string(number));
        start_keeper(keepers, keeper_time, hosts + number);
        entry.maintain_for(400ms);
    }
    for (int number = 0; number < streams; ++number)
        CHECK(entry.origin_of(key_of(number)).origin == origin);
}

// Guards against streams that go on at another version: an entry that has only
// read the record of a stream takes the version that it sees for the only one.
TEST_CASE("a version is known from the records that an entry adopts")
{
    const runtime::paused_clock keeper_time;
    keeper_map keepers;
    start_keeper(keepers, keeper_time, 0);
    {
        entry_with_keepers lost(keepers);
        lost.streams.record(key_of(0), origin, 20s);
    }
    entry_with_keepers entry(keepers);
    CHECK_FALSE(entry.context->versions.has_other_version({"events", "v2"}, 30s,
                                                          entry.time.now()));
    entry.maintain_for(2s);
    CHECK(entry.context->versions.has_other_version({"events", "v2"}, 30s,
                                                    entry.time.now()));
}

// Guards against adoption that takes the links of a fleet: what one entry sends
// and receives after its start, at a growing number of entries with ten keepers
// each, of which each has 65 records.
TEST_CASE("what an entry adopts fits its share of the control traffic")
{
    constexpr std::size_t most_per_second = 21'000;
    for (const int entries : {2, 6, 24, 300})
    {
        const runtime::paused_clock keeper_time;
        keeper_map keepers;
        peer::Frame frame;
        for (int number = 0; number < entries * 10; ++number)
            start_keeper(keepers, keeper_time, number);
        for (int number = 0; number < entries * 10 * 65; ++number)
        {
            frame.mutable_stream_origins()->clear_origins();
            serving::write_stream_origin(
                key_of(number),
                {origin, keeper_time.now(), keeper_time.now() + 2min, false},
                keeper_time.now(),
                *frame.mutable_stream_origins()->add_origins());
            keepers["k" + std::to_string(number / 65)]->handle(frame);
        }
        entry_with_keepers entry(keepers);
        for (int number = 1; number < entries; ++number)
            entry.others.push_back("e" + std::to_string(number));
        std::size_t most = 0;
        std::size_t last = 0;
        int quiet_after = 0;
        for (int second = 0; second < 60; ++second)
        {
            entry.bytes = 0;
            entry.frames = 0;
            entry.maintain_for(1s);
            most = std::max(most, entry.bytes);
            last = entry.bytes;
            quiet_after = last > most / 4 ? second + 1 : quiet_after;
        }
        MESSAGE(entries << " entries: at most " << most
                        << " bytes a second, for " << quiet_after << " s; "
                        << last << " in " << entry.frames
                        << " frames after a minute");
        CHECK(most <= most_per_second);
        CHECK(last <= most_per_second / 4);
    }
}
