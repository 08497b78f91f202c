#include "support/entry_with_keepers.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::test;

namespace
{

constexpr int streams = 200;
constexpr int hosts = 6; ///< Of each of two releases.

const decision::stream_origin origin{"events", "v1"};

decision::stream_key key_of(int number)
{
    return decision::make_stream_key("club", "h", "/events/",
                                     std::to_string(number));
}

void start_release(keeper_map& keepers, const runtime::clock& time, int first)
{
    for (int number = first; number < first + hosts; ++number)
        start_keeper(keepers, time, number);
}

std::set<std::string> old_release()
{
    std::set<std::string> addresses;
    for (int number = 0; number < hosts; ++number)
        addresses.insert("k" + std::to_string(number));
    return addresses;
}

/// Has the keepers at \a addresses hand on their records and end, all at once.
void stop_keepers(keeper_map& keepers, runtime::paused_clock& time,
                  const std::set<std::string>& addresses)
{
    for (const std::string& address : addresses)
        keepers.at(address)->stop();
    const auto is_done = [&keepers](const std::string& address)
    { return keepers.at(address)->is_handed_on(); };
    while (!std::ranges::all_of(addresses, is_done))
    {
        for (const std::string& address : addresses)
            for (const auto& [to, frame] :
                 keepers.at(address)->take_handover_frames())
                if (const auto reply = keepers.at(to)->handle(frame))
                    keepers.at(address)->handle_kept(to, reply->kept());
        time.advance(10ms);
    }
    for (const std::string& address : addresses)
        keepers.erase(address);
}

int known_streams(entry_with_keepers& entry)
{
    int known = 0;
    for (int number = 0; number < streams; ++number)
        known += entry.origin_of(key_of(number)).origin == origin ? 1 : 0;
    return known;
}

} // namespace

// Guards against streams that are unknown while their records exist: the
// targets beside their keepers left the list while all entries were lost.
TEST_CASE("records at keepers that are no longer listed are found")
{
    runtime::paused_clock keeper_time;
    keeper_map keepers;
    start_release(keepers, keeper_time, 0);
    start_release(keepers, keeper_time, hosts);
    {
        entry_with_keepers lost(keepers);
        for (int number = 0; number < streams; ++number)
            lost.streams.record(key_of(number), origin, 20s);
        lost.maintain_for(1s);
    }
    entry_with_keepers entry(keepers);
    entry.unlisted = old_release();
    for (int step = 0; step < 40; ++step)
    {
        keeper_time.advance(100ms);
        entry.maintain_for(100ms);
    }
    CHECK(known_streams(entry) == streams);
}

// Guards against records that end with their keepers: these were named other
// keepers of the release that stops, and no entry read them after the loss.
TEST_CASE("keepers that are no longer listed hand on to those that are")
{
    runtime::paused_clock keeper_time;
    keeper_map keepers;
    start_release(keepers, keeper_time, 0);
    {
        entry_with_keepers lost(keepers);
        for (int number = 0; number < streams; ++number)
            lost.streams.record(key_of(number), origin, 20s);
        lost.maintain_for(1s);
        start_release(keepers, keeper_time, hosts);
    }
    entry_with_keepers entry(keepers);
    entry.unlisted = old_release();
    for (int step = 0; step < 40; ++step)
    {
        keeper_time.advance(100ms);
        entry.maintain_for(100ms);
    }
    stop_keepers(keepers, keeper_time, old_release());
    entry.maintain_for(2s);
    CHECK(known_streams(entry) == streams);
}
