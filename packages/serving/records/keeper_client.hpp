#pragma once

#include "decision/streams/keeper_roster.hpp"
#include "decision/streams/record_handover.hpp"
#include "serving/entry_context.hpp"
#include "serving/stream_registry.hpp"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// Reaches the record keepers beside the targets of the services that generate
/// streams.
class keeper_client
{
public:
    explicit keeper_client(entry_context& context);

    /// Receives each sound frame of a listed keeper, with its address.
    using frame_handler =
        std::function<void(const std::string& address, const peer::Frame&)>;
    void set_handler(frame_handler handler) { m_handler = std::move(handler); }

    /// Returns the addresses where record keepers may run.
    std::vector<std::string> candidates() const;

    /// Returns those of them that have responded.
    std::set<std::string> confirmed() const;

    /// Returns the number of addresses where record keepers may run, silent
    /// ones included.
    std::size_t listed() const { return m_roster.size(); }

    bool is_listed(const std::string& address) const
    {
        return m_roster.is_listed(address);
    }

    /// Returns the record keepers to which the one at \a address is to hand on
    /// its records when it stops.
    std::vector<std::string> successors_of(const std::string& address) const;

    /// Sends \a frame to the record keeper at \a address; again if it calls for
    /// a reply that does not come.
    void send(const std::string& address, const peer::Frame& frame);

    /// Notes where record keepers may run now, and what went without a reply.
    void maintain();

    /// Receives replies. Never returns.
    awaitable<void> run();

private:
    void update_addresses();
    void transmit(const std::string& address, const peer::Frame& frame);
    void handle(const std::string& address, const peer::Frame& frame);
    void probe();
    void note_lost(const std::string& address, std::string_view why);

    struct sent_frame
    {
        std::string to;
        peer::Frame frame;
    };

    entry_context& m_context;
    asio::ip::udp::socket m_socket;
    decision::keeper_roster m_roster;
    /// By address, those beside targets that do not leave.
    std::map<std::string, decision::successor_candidate> m_successors;
    frame_handler m_handler;
    std::map<std::uint64_t, sent_frame> m_sent; ///< Without a reply, by number.
    std::uint64_t m_last_number = 0;
    std::optional<instant> m_probed_at;
    // What the addresses were last computed from.
    std::uint64_t m_directory_changes = ~std::uint64_t{0};
    catalog::catalog_ptr m_catalog;
    std::uint16_t m_port = 0;
};

/// Reaches all processes that keep records: the other entries and the record
/// keepers.
class record_channel : public stream_channel
{
public:
    record_channel(stream_channel& entries, keeper_client& keepers)
        : m_entries(entries), m_keepers(keepers)
    {
    }

    std::vector<std::string> stream_keepers() const override
    {
        return m_entries.stream_keepers();
    }
    std::vector<std::string> record_keepers() const override
    {
        return m_keepers.candidates();
    }
    std::size_t listed_record_keepers() const override
    {
        return m_keepers.listed();
    }
    std::set<std::string> confirmed_record_keepers() const override
    {
        return m_keepers.confirmed();
    }
    bool is_record_keeper(const std::string& address) const override
    {
        return m_keepers.is_listed(address);
    }
    std::vector<std::string>
    successors_of(const std::string& address) const override
    {
        return m_keepers.successors_of(address);
    }
    bool is_fleet_known() const override { return m_entries.is_fleet_known(); }
    void maintain() override { m_keepers.maintain(); }
    void send(const std::string& address, const peer::Frame& frame) override
    {
        if (is_record_keeper(address))
            m_keepers.send(address, frame);
        else
            m_entries.send(address, frame);
    }

private:
    stream_channel& m_entries;
    keeper_client& m_keepers;
};

} // namespace mangofold::serving
