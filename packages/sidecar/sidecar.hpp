#pragma once

#include "configuration/config_store.hpp"
#include "configuration/platform_reader.hpp"
#include "runtime/clock.hpp"
#include "runtime/http_server.hpp"
#include "runtime/metrics.hpp"
#include "runtime/supervisor.hpp"
#include "sidecar/admission_controller.hpp"
#include "sidecar/link_server.hpp"
#include "sidecar/sidecar_settings.hpp"
#include "sidecar/target_caller.hpp"

namespace mangofold::sidecar
{

/// A sidecar process: accepts submissions from the entries and passes those
/// that it admits to its target.
///
/// Owns all components and runs their threads under a supervisor.
class sidecar
{
public:
    sidecar(sidecar_settings values, const runtime::clock& clock);
    ~sidecar();

    /// Starts all components.
    void start();

    /// Restarts components that failed. Must be called periodically.
    void check() { m_supervisor.check(); }

    /// Refuses new work, waits for work in progress up to the drain timeout,
    /// and stops all components.
    void stop();

private:
    void add_children();
    std::unique_ptr<runtime::http_server> make_admin_server();
    runtime::http_reply status() const;

    sidecar_settings m_settings;
    const runtime::clock& m_clock;
    runtime::metrics m_metrics;
    configuration::config_store m_store;
    admission_controller m_admission;
    target_caller* m_caller = nullptr;
    link_server* m_links = nullptr;
    configuration::platform_reader m_platform_reader;
    runtime::supervisor m_supervisor;
};

} // namespace mangofold::sidecar
