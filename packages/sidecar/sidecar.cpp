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

// No two processes of a target may share an incarnation, and none can store
// what the last one was; 64 random bits make a repetition practically
// impossible without any memory.
std::uint64_t new_incarnation()
{
    std::random_device source;
    const std::uint64_t high = source();
    return (high << 32U | source()) | 1U;
}

} // namespace

sidecar::sidecar(sidecar_settings values, const runtime::clock& time)
    : m_settings(std::move(values)), m_clock(time), m_store(m_metrics),
      m_keeper({m_settings.target_id, new_incarnation(), time.now()},
               {manifest::grant_lifetime, m_settings.ledger_keys,
                m_settings.ledger_bytes},
               time, m_metrics),
      m_platform(
          m_settings.platform, m_store, m_metrics,
          configuration::platform_reader::mode::poll,
          {.poll = std::chrono::milliseconds(m_settings.poll_interval_ms)},
          new_incarnation()),
      m_tree("sidecar", time)
{
    add_parts();
}

sidecar::~sidecar() = default;

void sidecar::start()
{
    m_tree.start();
    runtime::event("started")
        .with("listen", m_settings.listen.text())
        .with("incarnation", m_keeper.incarnation())
        .info();
}

void sidecar::stop()
{
    m_keeper.set_stopping();
    m_links->renew_grants();
    const decision::instant latest =
        m_clock.now() + std::chrono::milliseconds(m_settings.drain_ms);
    constexpr std::chrono::milliseconds step{20};
    const auto is_done = [this]
    { return m_keeper.is_idle() && m_links->is_flushed(); };
    while (!is_done() && m_clock.now() < latest)
        std::this_thread::sleep_for(step);
    runtime::event("drained")
        .with("is_idle", m_keeper.is_idle() ? "yes" : "no")
        .info();
    // Results that were just handed to the network need a moment to arrive.
    std::this_thread::sleep_for(step);
    m_tree.stop();
}

void sidecar::add_parts()
{
    auto caller = std::make_unique<target_caller>(m_settings.target,
                                                  m_settings.target_threads,
                                                  m_keeper, m_clock, m_metrics);
    auto links = std::make_unique<link_server>(
        m_settings.listen, m_settings.target_id, m_keeper, m_store, m_metrics);
    m_caller = caller.get();
    m_links = links.get();
    m_keeper.set_ports(*links, *caller);
    m_store.add_listener([this](const configuration::snapshot_ptr& value)
                         { m_keeper.configure(value); });
    m_store.add_listener([this](const configuration::snapshot_ptr&)
                         { m_links->announce_generation(); });
    m_tree.add(std::move(caller));
    m_tree.add(std::move(links));
    m_tree.add(std::make_unique<runtime::looping_child>(
        "manifest_reader", [this] { return m_platform.read_manifest(); }));
    m_tree.add(std::make_unique<runtime::looping_child>(
        "grant_renewer",
        [this]
        {
            m_keeper.advance();
            m_links->renew_grants();
            return std::chrono::milliseconds(m_settings.grant_interval_ms);
        }));
    m_tree.add(admin_server());
}

std::unique_ptr<runtime::http_server> sidecar::admin_server()
{
    auto server = std::make_unique<runtime::http_server>(
        "admin_server", m_settings.admin,
        runtime::http_server::bounds{1, 4, 4096});
    runtime::add_admin_handlers(
        *server, m_metrics,
        [this] { return m_keeper.generation() > 0 && !m_keeper.is_leaving(); },
        [this] { return status(); });
    return server;
}

runtime::http_reply sidecar::status() const
{
    const decision::target_load load = m_keeper.load();
    const nlohmann::json body{{"role", "sidecar"},
                              {"target", m_settings.target_id},
                              {"zone", m_settings.zone},
                              {"generation", m_keeper.generation()},
                              {"incarnation", m_keeper.incarnation()},
                              {"leaving", m_keeper.is_leaving()},
                              {"running", load.running},
                              {"queued", load.queued},
                              {"limit", load.limit},
                              {"ledger_keys", m_keeper.ledger_size()},
                              {"links", m_links->link_count()},
                              {"restarted_parts", m_tree.restarts()}};
    return {200, "application/json", body.dump(), 0};
}

} // namespace mangofold::sidecar
