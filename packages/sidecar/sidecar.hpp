#pragma once

#include "configuration/config_store.hpp"
#include "configuration/platform_reader.hpp"
#include "runtime/clock.hpp"
#include "runtime/http_server.hpp"
#include "runtime/metrics.hpp"
#include "runtime/supervisor.hpp"
#include "sidecar/gate_keeper.hpp"
#include "sidecar/link_server.hpp"
#include "sidecar/sidecar_settings.hpp"
#include "sidecar/target_caller.hpp"

namespace mangofold::sidecar
{

/// The supervisor tree of a sidecar.
class sidecar
{
public:
    sidecar(sidecar_settings values, const runtime::clock& time);
    ~sidecar();

    /// Starts every part.
    void start();

    /// Restarts parts that failed. To be called often.
    void check() { m_tree.check(); }

    /// Stops new work, waits for what is in progress, and stops every part.
    void stop();

private:
    void add_parts();
    std::unique_ptr<runtime::http_server> admin_server();
    runtime::http_reply status() const;

    sidecar_settings m_settings;
    const runtime::clock& m_clock;
    runtime::metrics m_metrics;
    configuration::config_store m_store;
    gate_keeper m_keeper;
    target_caller* m_caller = nullptr;
    link_server* m_links = nullptr;
    configuration::platform_reader m_platform;
    runtime::supervisor m_tree;
};

} // namespace mangofold::sidecar
