#pragma once

#include "decision/streams/record_handover.hpp"
#include "serving/records/record_keeper.hpp"
#include "serving/stream_registry.hpp"
#include "support/serving_fixture.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mangofold::test
{

using namespace std::chrono_literals;

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
            if (!unlisted.contains(address))
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
        return m_keepers.contains(address) && !unlisted.contains(address);
    }
    std::vector<std::string>
    successors_of(const std::string& address) const override
    {
        std::vector<decision::successor_candidate> candidates;
        for (const std::string& keeper : record_keepers())
            candidates.push_back({keeper, std::stoul(keeper.substr(1)), 0});
        return decision::successors_of(address, std::move(candidates));
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
    std::set<std::string> unlisted;  ///< Keepers without a listed target.
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

/// Starts a keeper at the address "k" with \a number; a higher one is newer.
inline void start_keeper(keeper_map& keepers, const runtime::clock& time,
                         int number)
{
    keepers["k" + std::to_string(number)] =
        std::make_unique<serving::record_keeper>(time, number);
}

} // namespace mangofold::test
