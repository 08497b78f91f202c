#pragma once

#include "configuration/config_store.hpp"
#include "decision/account_limiter.hpp"
#include "decision/in_progress_limit.hpp"
#include "decision/recent_requests.hpp"
#include "entry/link_table.hpp"
#include "entry/outcome.hpp"
#include "entry/pipeline_runner.hpp"
#include "entry/request.hpp"
#include "runtime/http_server.hpp"
#include "runtime/metrics.hpp"

#include <atomic>
#include <mutex>
#include <string>

namespace mangofold::entry
{

/// The HTTP API for clients: /v1/requests runs a request, /v1/tickets returns
/// tickets that bind the stages that must not be repeated to their owners.
///
/// Applies the limits of the entry and of the client accounts before a request
/// runs. The handlers run on the threads of the HTTP server.
class caller_api
{
public:
    caller_api(pipeline_runner& runner, configuration::config_store& store,
               const link_table& links, const runtime::clock& clock,
               runtime::metrics& metrics, unsigned max_in_progress);

    /// Registers the handlers of the API in \a server.
    void register_handlers(runtime::http_server& server);

    /// Refuses all further requests.
    void set_draining()
    {
        const std::lock_guard lock(m_mutex);
        m_is_draining = true;
    }

    bool is_draining() const { return m_is_draining; }

    /// Returns the number of requests in progress.
    std::size_t in_progress() const;

private:
    runtime::http_reply handle_request(const runtime::http_request& incoming);
    runtime::http_reply
    handle_ticket_request(const runtime::http_request& incoming);
    outcome parse_and_run(const runtime::http_request& incoming,
                          request& parsed);
    outcome validate_and_run(request& parsed);
    /// Counts the request as in progress, or returns why it is refused.
    std::optional<outcome> admit(const request& parsed,
                                 const manifest::pipeline& pipeline,
                                 const manifest::account& account);
    /// Runs a request that admit() counted in, and counts it out again.
    /// \a is_first is false if an earlier attempt with the same id may have
    /// started on this entry.
    outcome run_admitted(const request& parsed,
                         const manifest::pipeline& pipeline,
                         const configuration::snapshot_ptr& snapshot,
                         bool is_first);
    runtime::http_reply to_reply(const request& parsed,
                                 const outcome& result) const;
    std::string new_request_id();

    pipeline_runner& m_runner;
    configuration::config_store& m_store;
    const link_table& m_links;
    const runtime::clock& m_clock;
    runtime::metrics& m_metrics;
    std::atomic<bool> m_is_draining{false};
    mutable std::mutex m_mutex;
    decision::in_progress_limit m_in_progress;
    decision::account_limiter m_account_limiter;
    decision::recent_requests m_recent_requests;
    std::atomic<std::uint64_t> m_next_id{1};
};

} // namespace mangofold::entry
