#include "sidecar/sidecar.hpp"

#include "manifest/manifest.hpp"
#include "runtime/admin_handlers.hpp"
#include "runtime/event.hpp"
#include "runtime/looping_child.hpp"

#include <nlohmann/json.hpp>

#include <random>
#include <thread>

namespace mangofold::sidecar
{

namespace
{

// Two processes of the same target must not have the same incarnation, and a
// process cannot read that of its predecessor, since nothing is stored. 64
// random bits make a collision practically impossible.
std::uint64_t new_incarnation()
{
    std::random_device random;
    const std::uint64_t high = random();
    return (high << 32U | random()) | 1U;
}

} // namespace

sidecar::sidecar(sidecar_settings values, const runtime::clock& clock)
    : m_settings(std::move(values)), m_clock(clock), m_store(m_metrics),
      m_admission({m_settings.target_id, new_incarnation(), clock.now()},
                  {manifest::grant_lifetime, m_settings.ledger_keys,
                   m_settings.ledger_bytes},
                  clock, m_metrics),
      m_platform_reader(
          m_settings.platform, m_store, m_metrics,
          configuration::platform_reader::mode::poll,
          {.poll = std::chrono::milliseconds(m_settings.poll_interval_ms)},
          new_incarnation()),
      m_supervisor("sidecar", clock)
{
    add_children();
}

sidecar::~sidecar() = default;

void sidecar::start()
{
    m_supervisor.start();
    runtime::event("started")
        .with("listen", m_settings.listen.text())
        .with("incarnation", m_admission.incarnation())
        .info();
}

void sidecar::stop()
{
    m_admission.set_stopping();
    m_links->renew_grants();
    const decision::instant deadline =
        m_clock.now() + std::chrono::milliseconds(m_settings.drain_ms);
    constexpr std::chrono::milliseconds poll_interval{20};
    const auto is_done = [this]
    { return m_admission.is_idle() && m_links->is_flushed(); };
    while (!is_done() && m_clock.now() < deadline)
        std::this_thread::sleep_for(poll_interval);
    runtime::event("drained")
        .with("is_idle", m_admission.is_idle() ? "yes" : "no")
        .info();
    // Gives the results just passed to the network time to arrive.
    std::this_thread::sleep_for(poll_interval);
    m_supervisor.stop();
}

void sidecar::add_children()
{
    auto caller = std::make_unique<target_caller>(
        m_settings.target, m_settings.target_threads, m_admission, m_clock,
        m_metrics);
    auto links =
        std::make_unique<link_server>(m_settings.listen, m_settings.target_id,
                                      m_admission, m_store, m_metrics);
    m_caller = caller.get();
    m_links = links.get();
    m_admission.set_outputs(*links, *caller);
    m_store.add_listener([this](const configuration::snapshot_ptr& snapshot)
                         { m_admission.configure(snapshot); });
    m_store.add_listener([this](const configuration::snapshot_ptr&)
                         { m_links->announce_generation(); });
    m_supervisor.add(std::move(caller));
    m_supervisor.add(std::move(links));
    m_supervisor.add(std::make_unique<runtime::looping_child>(
        "manifest_reader",
        [this] { return m_platform_reader.read_manifest(); }));
    m_supervisor.add(std::make_unique<runtime::looping_child>(
        "grant_renewer",
        [this]
        {
            m_admission.advance();
            m_links->renew_grants();
            return std::chrono::milliseconds(m_settings.grant_interval_ms);
        }));
    m_supervisor.add(make_admin_server());
}

std::unique_ptr<runtime::http_server> sidecar::make_admin_server()
{
    auto server = std::make_unique<runtime::http_server>(
        "admin_server", m_settings.admin,
        runtime::http_server::bounds{1, 4, 4096});
    runtime::add_admin_handlers(
        *server, m_metrics,
        [this]
        { return m_admission.generation() > 0 && !m_admission.is_leaving(); },
        [this] { return status(); });
    return server;
}

runtime::http_reply sidecar::status() const
{
    const decision::target_load load = m_admission.load();
    const nlohmann::json body{{"role", "sidecar"},
                              {"target", m_settings.target_id},
                              {"zone", m_settings.zone},
                              {"generation", m_admission.generation()},
                              {"incarnation", m_admission.incarnation()},
                              {"leaving", m_admission.is_leaving()},
                              {"running", load.running},
                              {"queued", load.queued},
                              {"limit", load.limit},
                              {"ledger_keys", m_admission.ledger_size()},
                              {"links", m_links->link_count()},
                              {"restarted_parts", m_supervisor.restarts()}};
    return {200, "application/json", body.dump(), 0};
}

} // namespace mangofold::sidecar
