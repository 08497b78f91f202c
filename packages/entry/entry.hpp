#pragma once

#include "configuration/config_store.hpp"
#include "configuration/platform_reader.hpp"
#include "entry/caller_api.hpp"
#include "entry/entry_settings.hpp"
#include "entry/link_table.hpp"
#include "entry/pipeline_runner.hpp"
#include "entry/router.hpp"
#include "runtime/clock.hpp"
#include "runtime/http_server.hpp"
#include "runtime/metrics.hpp"
#include "runtime/supervisor.hpp"

namespace mangofold::entry
{

/// An entry process: accepts the requests of clients over HTTP and runs them
/// through the stages of their pipelines on the targets.
///
/// Owns all components and runs their threads under a supervisor.
class entry
{
public:
    entry(entry_settings values, const runtime::clock& clock);
    ~entry();

    /// Starts all components.
    void start();

    /// Restarts components that failed. Must be called periodically.
    void check() { m_supervisor.check(); }

    /// Refuses new requests, waits for those in progress up to the drain
    /// timeout, and stops all components.
    void stop();

private:
    void add_children();
    std::unique_ptr<runtime::http_server> make_client_server();
    std::unique_ptr<runtime::http_server> make_admin_server();
    runtime::http_reply status() const;
    bool is_ready() const;

    entry_settings m_settings;
    const runtime::clock& m_clock;
    runtime::metrics m_metrics;
    configuration::config_store m_store;
    router m_router;
    link_context m_link_context;
    link_table m_links;
    pipeline_runner m_runner;
    caller_api m_caller_api;
    configuration::platform_reader m_platform_reader;
    runtime::supervisor m_supervisor;
};

} // namespace mangofold::entry
