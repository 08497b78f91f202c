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

/// The supervisor tree of an entry.
class entry
{
public:
    entry(entry_settings values, const runtime::clock& time);
    ~entry();

    /// Starts every part.
    void start();

    /// Restarts parts that failed. To be called often.
    void check() { m_tree.check(); }

    /// Refuses new requests, waits for those in progress, and stops every
    /// part.
    void stop();

private:
    void add_parts();
    std::unique_ptr<runtime::http_server> caller_server();
    std::unique_ptr<runtime::http_server> admin_server();
    runtime::http_reply status() const;
    bool is_ready() const;

    entry_settings m_settings;
    const runtime::clock& m_clock;
    runtime::metrics m_metrics;
    configuration::config_store m_store;
    router m_router;
    link_context m_context;
    link_table m_links;
    pipeline_runner m_runner;
    caller_api m_callers;
    configuration::platform_reader m_platform;
    runtime::supervisor m_tree;
};

} // namespace mangofold::entry
