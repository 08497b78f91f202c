#include "entry/entry.hpp"

#include "runtime/admin_handlers.hpp"
#include "runtime/event.hpp"
#include "runtime/looping_child.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <thread>

namespace mangofold::entry
{

namespace
{

std::uint64_t random_seed()
{
    std::random_device source;
    const std::uint64_t high_bits = source();
    return high_bits << 32U | source();
}

} // namespace

entry::entry(entry_settings values, const runtime::clock& clock)
    : m_settings(std::move(values)), m_clock(clock), m_store(m_metrics),
      m_router(m_settings.zone, clock, random_seed()),
      m_link_context{m_settings.id, m_settings.zone, clock,
                     m_metrics,     m_store,         m_router},
      m_links(m_link_context, m_settings.links_per_pool),
      m_runner(m_links, m_router, clock, m_metrics),
      m_caller_api(m_runner, m_store, m_links, clock, m_metrics,
                   m_settings.max_in_progress),
      m_platform_reader(m_settings.platform, m_store, m_metrics,
                        configuration::platform_reader::mode::watch, {},
                        random_seed()),
      m_supervisor("entry", clock)
{
    add_children();
}

entry::~entry() = default;

void entry::start()
{
    m_supervisor.start();
    runtime::event("started").with("listen", m_settings.listen.text()).info();
}

void entry::stop()
{
    m_caller_api.set_draining();
    const decision::instant deadline =
        m_clock.now() + std::chrono::milliseconds(m_settings.drain_ms);
    constexpr std::chrono::milliseconds poll_interval{20};
    while (m_caller_api.in_progress() > 0 && m_clock.now() < deadline)
        std::this_thread::sleep_for(poll_interval);
    runtime::event("drained")
        .with("in_progress", m_caller_api.in_progress())
        .info();
    // Give responses that were just written time to be sent.
    std::this_thread::sleep_for(poll_interval);
    m_platform_reader.set_stopping();
    m_links.close();
    m_supervisor.stop();
}

void entry::add_children()
{
    m_link_context.on_target_crash = [this](const decision::target_crash& crash)
    { m_runner.quarantine().note_crash(crash); };
    // An entry does not know the names of the other entries, so two of them
    // can have the same ordinal.
    m_runner.quarantine().set_own_ordinal(
        [this]
        {
            const auto count = static_cast<std::size_t>(m_links.entry_count());
            const auto hash = decision::digest_of(m_settings.id).low;
            return decision::ordinal{hash % std::max<std::size_t>(1, count),
                                     std::max<std::size_t>(1, count)};
        });
    m_store.add_listener([this](const configuration::snapshot_ptr& snapshot)
                         { m_router.configure(snapshot); });
    m_store.add_listener([this](const configuration::snapshot_ptr& snapshot)
                         { m_links.configure(snapshot); });
    m_store.add_listener([this](const configuration::snapshot_ptr&)
                         { m_links.announce_generation(); });
    m_platform_reader.set_leaving_listener(
        [this](const std::set<std::string>& targets)
        { m_links.note_leaving(targets); });
    for (const runtime::address& seed : m_settings.seeds)
        m_links.add_seed(seed.text());

    m_supervisor.add(std::make_unique<runtime::looping_child>(
        "link_keeper",
        [this]
        {
            constexpr std::chrono::milliseconds interval{50};
            m_links.maintain();
            return interval;
        }));
    m_supervisor.add(std::make_unique<runtime::looping_child>(
        "manifest_reader",
        [this] { return m_platform_reader.read_manifest(); }));
    m_supervisor.add(std::make_unique<runtime::looping_child>(
        "instances_reader",
        [this]
        {
            return m_platform_reader.read_instances(
                static_cast<std::uint32_t>(m_links.entries_per_sidecar()));
        }));
    m_supervisor.add(make_client_server());
    m_supervisor.add(make_admin_server());
}

std::unique_ptr<runtime::http_server> entry::make_client_server()
{
    auto server = std::make_unique<runtime::http_server>(
        "caller_server", m_settings.listen,
        runtime::http_server::bounds{8, m_settings.http_threads,
                                     m_settings.max_body_bytes});
    m_caller_api.register_handlers(*server);
    return server;
}

std::unique_ptr<runtime::http_server> entry::make_admin_server()
{
    auto server = std::make_unique<runtime::http_server>(
        "admin_server", m_settings.admin,
        runtime::http_server::bounds{1, 4, 4096});
    runtime::add_admin_handlers(
        *server, m_metrics, [this] { return is_ready(); },
        [this] { return status(); });
    return server;
}

bool entry::is_ready() const
{
    return m_store.generation() > 0 && !m_caller_api.is_draining() &&
           m_router.has_linked_targets();
}

runtime::http_reply entry::status() const
{
    const nlohmann::json body{{"role", "entry"},
                              {"id", m_settings.id},
                              {"zone", m_settings.zone},
                              {"generation", m_store.generation()},
                              {"ready", is_ready()},
                              {"draining", m_caller_api.is_draining()},
                              {"in_progress", m_caller_api.in_progress()},
                              {"entries", m_links.entry_count()},
                              {"restarted_parts", m_supervisor.restarts()}};
    return {200, "application/json", body.dump(), 0};
}

} // namespace mangofold::entry
