#pragma once

#include "configuration/config_store.hpp"
#include "decision/backoff.hpp"
#include "decision/target_crash.hpp"
#include "entry/dispatcher.hpp"
#include "entry/mailbox.hpp"
#include "entry/router.hpp"
#include "runtime/clock.hpp"
#include "runtime/metrics.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace mangofold::wire
{
class Grant;
class EntryMessage;
class Result;
class SidecarMessage;
} // namespace mangofold::wire

namespace mangofold::entry
{

class sidecar_stream;

/// What all links of an entry share.
struct link_context
{
    std::string entry_id;
    std::string zone;
    const runtime::clock& time;
    runtime::metrics& counters;
    configuration::config_store& store;
    router& routes;
    /// Takes what sidecars say of ends of their targets.
    std::function<void(const decision::target_crash&)> note_target_end = {};
};

/// The link to one sidecar: opened again whenever it broke or fell silent.
class sidecar_link : public std::enable_shared_from_this<sidecar_link>
{
public:
    sidecar_link(const link_context& context, std::string target,
                 std::string address);

    /// Opens the stream where it is down, ends it where it is silent.
    void maintain();

    /// Ends the stream for good.
    void close();

    std::optional<dispatched> submit(decision::submission work,
                                     const std::shared_ptr<mailbox>& replies);
    void withdraw(std::uint64_t number);
    bool mint(const std::shared_ptr<mailbox>& replies);

    /// Tells the sidecar the generation in force here.
    void announce_generation();

    /// Tells the sidecar that the platform calls its target leaving.
    void announce_leaving();

    const std::string& address() const { return m_address; }

    /// Returns how many entries the sidecar sees, at least one.
    std::uint32_t entry_count() const;

private:
    struct pending
    {
        std::shared_ptr<mailbox> replies;
        std::uint32_t attempt = 0; ///< 0 for the wish for a ticket.
        decision::work_class priority = decision::work_class::urgent;
    };

    using stream_ptr = std::shared_ptr<sidecar_stream>;

    void open_stream();
    void stream_closed(std::uint64_t epoch);
    void received(std::uint64_t epoch, const wire::SidecarMessage& message);
    void take_grant(const wire::Grant& grant);
    void take_result(const wire::Result& message);
    void take_ticket(const wire::SidecarMessage& message);
    void hear_generation(std::uint64_t generation);
    std::optional<pending> take_pending(std::uint64_t number);
    bool send(wire::EntryMessage message);

    const link_context& m_context;
    std::string m_target;
    std::string m_address;
    mutable std::mutex m_mutex;
    stream_ptr m_stream;
    std::uint64_t m_epoch = 0; ///< Numbers the streams one after another.
    bool m_is_closed_for_good = false;
    bool m_is_up = false;
    decision::instant m_heard_at{};
    decision::instant m_open_at{};
    decision::backoff m_wait;
    decision::random_source m_random;
    decision::grant_ref m_grant;
    std::uint32_t m_entry_count = 1;
    std::uint64_t m_next_number = 1;
    std::map<std::uint64_t, pending> m_pending;
};

} // namespace mangofold::entry
