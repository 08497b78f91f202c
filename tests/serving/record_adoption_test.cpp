#include "serving/records/record_keeper.hpp"
#include "serving/stream_messages.hpp"
#include "serving/stream_registry.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;

namespace
{

using keeper_map =
    std::map<std::string, std::unique_ptr<serving::record_keeper>>;

constexpr std::size_t header_bytes = 28; ///< Of IP and UDP.

/// An entry that reaches the record keepers of a map.
class entry_with_keepers : public serving_fixture,
                           public serving::stream_channel
{
public:
    explicit entry_with_keepers(keeper_map& keepers) : m_keepers(keepers)
    {
        context->streams = &streams;
        context->has_all_targets = true;
    }

    std::vector<std::string> stream_keepers() const override { return others; }
    bool is_fleet_known() const override { return true; }
    std::vector<std::string> record_keepers() const override
    {
        std::vector<std::string> addresses;
        for (const auto& [address, keeper] : m_keepers)
            addresses.push_back(address);
        return addresses;
    }
    std::set<std::string> confirmed_record_keepers() const override
    {
        const auto all = record_keepers();
        return {all.begin(), all.end()};
    }
    bool is_record_keeper(const std::string& address) const override
    {
        return m_keepers.contains(address);
    }

    void send(const std::string& address, const peer::Frame& frame) override
    {
        const auto found = m_keepers.find(address);
        const auto reply = found == m_keepers.end()
                               ? std::nullopt
                               : found->second->handle(frame);
        bytes += frame.ByteSizeLong() + header_bytes;
        bytes += reply ? reply->ByteSizeLong() + header_bytes : 0;
        frames += reply ? 2 : 1;
        if (reply && reply->has_stream_answer())
            streams.handle_answer(address, reply->stream_answer());
        if (reply && reply->has_stream_origins())
            streams.handle_records(address, reply->stream_origins());
    }

    /// Maintains the records for \a span, as an entry process does.
    void maintain_for(decision::duration span)
    {
        for (decision::duration passed{}; passed < span; passed += 100ms)
        {
            time.advance(100ms);
            streams.maintain();
        }
    }

    /// Returns what this entry knows of the stream \a key.
    serving::stream_registry::finding origin_of(const decision::stream_key& key)
    {
        std::optional<serving::stream_registry::finding> found;
        serving::spawn(loop, find(key, found));
        run_until(
            [&]
            {
                time.advance(1ms);
                return found.has_value();
            });
        return *found;
    }

    serving::stream_registry streams{*context, *this};
    std::vector<std::string> others; ///< Entries, which get nothing.
    std::size_t frames = 0;          ///< Sent and received.
    std::size_t bytes = 0;           ///< Of these, with headers.

private:
    serving::awaitable<void>
    find(decision::stream_key key,
         std::optional<serving::stream_registry::finding>& found)
    {
        found = co_await streams.find(key, "events", {20s, 10s});
    }

    keeper_map& m_keepers;
};

void start_keeper(keeper_map& keepers, const runtime::clock& time, int number)
{
    keepers["k" + std::to_string(number)] =
        std::make_unique<serving::record_keeper>(time, number);
}

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
