#pragma once

#include "decision/catch_up.hpp"
#include "serving/engine_scheduler.hpp"
#include "serving/peer_link.hpp"
#include "serving/piece_batcher.hpp"
#include "serving/source_reader.hpp"
#include "serving/stream_registry.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// The links to all other entries: discovers entries from a few seeds, tracks
/// which of them answer, and exchanges the catalog and the list of targets with
/// them.
class peer_mesh : public peer_listener,
                  public placement_channel,
                  public stream_channel
{
public:
    peer_mesh(entry_context& context, source_reader& source,
              piece_batcher& batcher);

    /// Connects to the seeds and runs the periodic work.
    awaitable<void> run();

    /// Adds the entry that can be reached at \a address.
    void add(const std::string& address);

    /// Returns the link to the entry that batches \a service, or nothing if
    /// this entry does.
    peer_link* batching_peer(const std::string& service);

    std::string scheduler_of(const std::string& group) override;
    std::vector<std::string> stream_keepers() const override;
    bool is_fleet_known() const override { return is_settled(); }
    void send(const std::string& address, const peer::Frame& frame) override;

    /// Notes that this entry starts now and knows its seeds only.
    void set_started();

    /// Whether this entry has seen enough of the others to determine which
    /// entry batches a service.
    bool is_settled() const { return m_roster.is_settled(m_context.now()); }

    /// Returns the position of this entry in an order of all live entries that
    /// depends on \a key.
    decision::ordinal ordinal_for(const std::string& key) const
    {
        return m_roster.ordinal_for(key);
    }

    /// Notes that this entry is stopping.
    void set_stopping();

    /// See entry_roster::others_while_stopping.
    decision::other_entries others_while_stopping() const
    {
        return m_roster.others_while_stopping(m_context.now());
    }

    /// See entry_roster::half_back_at.
    instant half_back_at(duration stop_time) const
    {
        return m_roster.half_back_at(stop_time, m_context.now());
    }

    /// Handles the state that the entry at \a address sent with a ping.
    void handle_ping(const std::string& address,
                     const peer::Holding& peer_state);

    using job_sink = std::function<void(std::vector<routed_job>)>;
    void set_job_sink(job_sink sink) { m_job_sink = std::move(sink); }

    /// Returns the state of this entry, for an entry that knows \a
    /// known_entries of the entries.
    peer::Holding holding(std::size_t known_entries) const;
    peer::Holding holding() const override { return holding(m_roster.size()); }
    peer::Want handle_holding(const std::string& address,
                              const peer::Holding& peer_state) override;
    decision::entry_roster::probe_schedule
    probe_schedule_for(const std::string& address,
                       bool holds_work) const override;
    void note_lost(const std::string& address) override;
    void handle_catalog(const std::string& address,
                        const std::string& text) override;
    void note_catalog_part(const std::string& address) override;
    void note_copy_declined(const std::string& address) override;
    void handle_targets(const std::string& address,
                        const peer::Targets& targets) override;
    void take_back_jobs(std::vector<routed_job> jobs) override;

private:
    void remove_lost_entries();
    void update_services();
    bool should_request_catalog(const std::string& address,
                                const peer::Holding& peer_state);
    bool should_request_targets(const std::string& address,
                                const peer::Holding& peer_state);
    bool should_request(decision::catch_up& catch_up,
                        const std::string& address);
    void note_up_to_date(decision::catch_up& catch_up);
    void cancel_copy(const std::string& address);
    bool is_seed(const std::string& address) const;

    entry_context& m_context;
    source_reader& m_source;
    piece_batcher& m_batcher;
    decision::entry_roster m_roster;
    /// Newest catalog version held by any entry.
    std::uint64_t m_newest_catalog_version = 0;
    decision::catch_up m_catalog_catch_up;
    decision::catch_up m_target_catch_up;
    std::map<std::string, std::shared_ptr<peer_link>> m_links;
    std::map<std::string, instant> m_added_at;
    std::set<std::string> m_schedulers; ///< Entries that can schedule engines.
    std::set<std::string> m_stream_keepers; ///< That keep records of streams.
    job_sink m_job_sink;
};

} // namespace mangofold::serving
