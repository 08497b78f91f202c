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

/// What callers reach over HTTP: requests and tickets.
class caller_api
{
public:
    caller_api(pipeline_runner& runner, configuration::config_store& store,
               const link_table& links, const runtime::clock& time,
               runtime::metrics& counters, unsigned max_in_progress);

    /// Adds the paths to \a server.
    void add_to(runtime::http_server& server);

    /// Refuses new requests from now on.
    void set_draining()
    {
        const std::lock_guard lock(m_mutex);
        m_is_draining = true;
    }

    bool is_draining() const { return m_is_draining; }
    std::size_t in_progress() const;

private:
    runtime::http_reply answer_request(const runtime::http_request& from);
    runtime::http_reply answer_ticket(const runtime::http_request& from);
    outcome serve(const runtime::http_request& from, request& parsed);
    outcome check_and_run(request& parsed);
    std::optional<outcome> refuse_first(const request& parsed,
                                        const manifest::pipeline& pipeline,
                                        const manifest::account& account);
    outcome run_in_bounds(const request& parsed,
                          const manifest::pipeline& pipeline,
                          const configuration::snapshot_ptr& in_force,
                          bool is_first);
    runtime::http_reply to_reply(const request& parsed,
                                 const outcome& ended) const;
    std::string new_request_id();

    pipeline_runner& m_runner;
    configuration::config_store& m_store;
    const link_table& m_links;
    const runtime::clock& m_clock;
    runtime::metrics& m_metrics;
    std::atomic<bool> m_is_draining{false};
    mutable std::mutex m_mutex;
    decision::in_progress_limit m_in_progress;
    decision::account_limiter m_accounts;
    decision::recent_requests m_begun;
    std::atomic<std::uint64_t> m_next_id{1};
};

} // namespace mangofold::entry
