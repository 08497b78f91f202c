#pragma once

#include "decision/entry_roster.hpp"
#include "serving/catalog_parts.hpp"
#include "serving/entry_context.hpp"
#include "serving/frame_socket.hpp"
#include "serving/job_executor.hpp"
#include "serving/target_losses.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// A stage job with its service and the request that waits for it.
struct routed_job
{
    std::string service;
    decision::stage_job job;
    pending_job_ptr pending;
};

/// Handles what an entry receives from another entry over a peer_link.
class peer_listener
{
public:
    virtual ~peer_listener() = default;

    /// Returns the state of this entry that it tells other entries.
    virtual peer::Holding holding() const = 0;
    /// Handles the state of the entry at \a address. Returns what to request
    /// from it.
    virtual peer::Want handle_holding(const std::string& address,
                                      const peer::Holding& peer_state) = 0;
    /// Handles a catalog received from the entry at \a address.
    virtual void handle_catalog(const std::string& address,
                                const std::string& text) = 0;
    /// Notes that a part of a catalog was received from the entry at \a
    /// address.
    virtual void note_catalog_part(const std::string& address) = 0;
    /// Handles a part of the list of targets.
    virtual void handle_targets(const std::string& address,
                                const peer::Targets& targets) = 0;
    /// Notes that the entry at \a address declined to send a copy for now.
    virtual void note_copy_declined(const std::string& address) = 0;
    /// Returns how often to ping the entry at \a address, and after how long
    /// without an answer the entry counts as lost. \a holds_work tells whether
    /// that entry has jobs of this entry.
    virtual decision::entry_roster::probe_schedule
    probe_schedule_for(const std::string& address, bool holds_work) const = 0;
    /// Notes that the entry at \a address no longer answers.
    virtual void note_lost(const std::string& address) = 0;
    /// Takes back jobs from an entry that no longer answers.
    virtual void take_back_jobs(std::vector<routed_job> jobs) = 0;
};

/// The connection from this entry to another one, over which it pings that
/// entry and sends it jobs and requests for copies.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    peer_link(entry_context& context, peer_listener& listener,
              std::string address);

    /// Connects, and reconnects after each loss, until close().
    awaitable<void> run();
    void close();

    const std::string& address() const { return m_address; }

    /// Whether the other entry answers.
    bool is_alive() const { return m_is_alive; }

    /// Returns when the other entry was last heard from.
    instant last_heard_at() const { return m_last_heard_at; }

    /// Sends \a job to the other entry. Its outcome goes to \a pending; if the
    /// connection is lost first, the job goes to the listener.
    void submit(const std::string& service, decision::stage_job job,
                pending_job_ptr pending);
    /// Releases results that the other entry had targets produce for this one.
    void release(const std::string& service,
                 const std::vector<std::string>& handles);

    /// Sends \a frame if the other entry answers.
    void send(const peer::Frame& frame);

    /// Pings the other entry now instead of at the next interval.
    void ping_now() { m_ping_now.set(); }

    /// Asks the other entry to stop sending a copy in parts.
    void cancel_copy();

private:
    awaitable<bool> connect();
    awaitable<void> ping();
    awaitable<void> listen();
    void handle_frame(const peer::Frame& frame);
    void handle_pong(const peer::Pong& pong);
    void send_target_crashes();
    void handle_catalog_part(const peer::CatalogPart& part);
    void cancel_unwanted_jobs();
    bool should_reconnect_at_once(instant connected_at) const;
    void resubmit_jobs();
    void handle_loss();

    entry_context& m_context;
    peer_listener& m_listener;
    std::string m_address;
    frame_socket_ptr m_socket;
    std::map<std::uint64_t, routed_job> m_submitted;
    std::uint64_t m_next_number = 1;
    duration m_connect_timeout; ///< Time limit of the next attempt to connect.
    instant m_last_heard_at{};
    bool m_is_alive = false;
    /// Whether the connection was closed because the other entry stopped
    /// answering.
    bool m_is_silent = false;
    auto_reset_event m_ping_now; ///< Raised to ping at once.
    bool m_is_closed = false;
    catalog_assembler m_catalog;
    crash_log_sync m_crash_sync; ///< For the current connection.
};

} // namespace mangofold::serving
