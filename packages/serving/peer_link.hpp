#pragma once

#include "decision/entry_roster.hpp"
#include "serving/catalog_parts.hpp"
#include "serving/entry_context.hpp"
#include "serving/frame_socket.hpp"
#include "serving/piece_maker.hpp"
#include "serving/target_losses.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// Work that another entry was asked for and whose answer will not come.
struct orphaned_job
{
    std::string service;
    decision::stage_job job;
    piece_wait_ptr wait;
};

/// What an entry does with what it hears from another one.
class peer_listener
{
public:
    virtual ~peer_listener() = default;

    /// Returns what this entry holds.
    virtual peer::Holding holding() const = 0;
    /// Takes in what the entry at \a address holds. Returns what to ask it
    /// for.
    virtual peer::Want note_holding(const std::string& address,
                                    const peer::Holding& theirs) = 0;
    /// Takes in the catalog that the entry at \a address sent.
    virtual void take_catalog(const std::string& address,
                              const std::string& text) = 0;
    /// Notes that a part of a catalog came from the entry at \a address.
    virtual void note_catalog_part(const std::string& address) = 0;
    /// Takes in a part of the list of targets.
    virtual void take_targets(const std::string& address,
                              const peer::Targets& targets) = 0;
    /// Notes that the entry at \a address gives no copy now.
    virtual void note_declined(const std::string& address) = 0;
    /// Returns how to watch the entry at \a address.
    virtual decision::entry_roster::probe_schedule
    watch_of(const std::string& address, bool holds_work) const = 0;
    /// Notes that the entry at \a address answers no more.
    virtual void note_lost(const std::string& address) = 0;
    /// Takes work back from an entry that stopped answering.
    virtual void take_back(std::vector<orphaned_job> jobs) = 0;
};

/// The connection that this entry keeps to another one, to ask it for things.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    peer_link(entry_context& context, peer_listener& listener,
              std::string address);

    /// Connects again and again, until close().
    awaitable<void> run();
    void close();

    const std::string& address() const { return m_address; }

    /// Whether the other entry answered lately.
    bool is_alive() const { return m_is_alive; }

    /// Returns when the other entry last answered.
    instant heard_at() const { return m_heard_at; }

    void ask(const std::string& service, decision::stage_job job,
             piece_wait_ptr wait);
    void release(const std::string& service,
                 const std::vector<std::string>& handles);

    /// Asks the other entry now, not when the next question is due.
    void ask_now() { m_watch_now.set(); }

    /// Tells the other entry to send no more of what it sends in parts.
    void drop_copy();

private:
    awaitable<bool> connect();
    awaitable<void> ping();
    awaitable<void> listen();
    void take(const peer::Frame& frame);
    void take_pong(const peer::Pong& pong);
    void tell_ends();
    void take_part(const peer::CatalogPart& part);
    void drop_unwanted();
    bool may_be_back(instant began) const;
    void ask_again();
    void lose();

    entry_context& m_context;
    peer_listener& m_listener;
    std::string m_address;
    frame_socket_ptr m_socket;
    std::map<std::uint64_t, orphaned_job> m_asked;
    std::uint64_t m_next_number = 1;
    duration m_connect_time; ///< Of the next try.
    instant m_heard_at{};
    bool m_is_alive = false;
    bool m_is_silent = false;     ///< It answers no more, and was closed here.
    auto_reset_event m_watch_now; ///< It is to be asked now.
    bool m_is_closed = false;
    catalog_assembler m_catalog;
    end_news m_news; ///< On the present connection.
};

} // namespace mangofold::serving
