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

/// The data that all links of an entry share. Must outlive the links.
struct link_context
{
    std::string entry_id;
    std::string zone;
    const runtime::clock& clock;
    runtime::metrics& metrics;
    configuration::config_store& store;
    router& routes;
    /// Called with each target crash that a sidecar reports.
    std::function<void(const decision::target_crash&)> on_target_crash = {};
};

/// The link to one sidecar, which carries submissions, results, load reports
/// and manifests. Reopens the gRPC stream whenever it breaks or falls silent.
/// All functions may be called from any thread.
class sidecar_link : public std::enable_shared_from_this<sidecar_link>
{
public:
    sidecar_link(const link_context& context, std::string target,
                 std::string address);

    /// Opens the stream if it is down, and closes it if it is silent. Must be
    /// called periodically.
    void maintain();

    /// Closes the stream for good.
    void close();

    /// Implements dispatcher::submit().
    std::optional<sent_submission>
    submit(decision::submission work, const std::shared_ptr<mailbox>& replies);
    /// Cancels the submission \a number if it is still pending.
    void cancel(std::uint64_t number);
    /// Implements dispatcher::request_ticket().
    bool request_ticket(const std::shared_ptr<mailbox>& replies);

    /// Sends the current manifest generation of this entry to the sidecar.
    void announce_generation();

    /// Tells the sidecar that the platform reports its target as leaving.
    void announce_leaving();

    const std::string& address() const { return m_address; }

    /// Returns the number of entries connected to the sidecar, at least one.
    std::uint32_t entry_count() const;

private:
    /// A submission or ticket request that awaits its reply.
    struct pending_request
    {
        std::shared_ptr<mailbox> replies;
        std::uint32_t attempt = 0; ///< 0 for a ticket request.
        decision::work_class priority = decision::work_class::urgent;
    };

    using stream_ptr = std::shared_ptr<sidecar_stream>;

    void open_stream();
    void stream_closed(std::uint64_t epoch);
    void handle_message(std::uint64_t epoch,
                        const wire::SidecarMessage& message);
    void handle_grant(const wire::Grant& grant);
    void handle_result(const wire::Result& message);
    void handle_ticket(const wire::SidecarMessage& message);
    /// Asks the sidecar for its manifest if \a generation is newer than
    /// the one of this entry.
    void request_newer_manifest(std::uint64_t generation);
    /// Removes and returns the pending request \a number, if there is one.
    std::optional<pending_request> take_pending(std::uint64_t number);
    bool send(wire::EntryMessage message);

    const link_context& m_context;
    std::string m_target;
    std::string m_address;
    mutable std::mutex m_mutex;
    stream_ptr m_stream;
    std::uint64_t m_epoch = 0; ///< Number of the current stream.
    bool m_is_closed = false;
    bool m_is_up = false;
    decision::instant m_last_received_at{};
    decision::instant m_next_open_at{};
    decision::backoff m_backoff;
    decision::random_source m_random;
    decision::grant_ref m_grant;
    std::uint32_t m_entry_count = 1;
    std::uint64_t m_next_number = 1;
    std::map<std::uint64_t, pending_request> m_pending;
};

} // namespace mangofold::entry
