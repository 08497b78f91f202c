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
    const std::uint64_t high = source();
    return high << 32U | source();
}

} // namespace

entry::entry(entry_settings values, const runtime::clock& time)
    : m_settings(std::move(values)), m_clock(time), m_store(m_metrics),
      m_router(m_settings.zone, time, random_seed()), m_context{m_settings.id,
                                                                m_settings.zone,
                                                                time,
                                                                m_metrics,
                                                                m_store,
                                                                m_router},
      m_links(m_context, m_settings.links_per_pool),
      m_runner(m_links, m_router, time, m_metrics),
      m_callers(m_runner, m_store, m_links, time, m_metrics,
                m_settings.max_in_progress),
      m_platform(m_settings.platform, m_store, m_metrics,
                 configuration::platform_reader::mode::watch, {},
                 random_seed()),
      m_tree("entry", time)
{
    add_parts();
}

entry::~entry() = default;

void entry::start()
{
    m_tree.start();
    runtime::event("started").with("listen", m_settings.listen.text()).info();
}

void entry::stop()
{
    m_callers.set_draining();
    const decision::instant latest =
        m_clock.now() + std::chrono::milliseconds(m_settings.drain_ms);
    constexpr std::chrono::milliseconds step{20};
    while (m_callers.in_progress() > 0 && m_clock.now() < latest)
        std::this_thread::sleep_for(step);
    runtime::event("drained")
        .with("in_progress", m_callers.in_progress())
        .info();
    // Answers that were just written need a moment to leave.
    std::this_thread::sleep_for(step);
    m_platform.set_stopping();
    m_links.close();
    m_tree.stop();
}

void entry::add_parts()
{
    m_context.note_target_end = [this](const decision::target_crash& one)
    { m_runner.contents().note_end(one); };
    // Nobody knows the others' names here: two can have one place.
    m_runner.contents().set_seat(
        [this]
        {
            const auto of = static_cast<std::size_t>(m_links.entry_count());
            const auto own = decision::digest_of(m_settings.id).low;
            return decision::ordinal{own % std::max<std::size_t>(1, of),
                                     std::max<std::size_t>(1, of)};
        });
    m_store.add_listener([this](const configuration::snapshot_ptr& value)
                         { m_router.configure(value); });
    m_store.add_listener([this](const configuration::snapshot_ptr& value)
                         { m_links.configure(value); });
    m_store.add_listener([this](const configuration::snapshot_ptr&)
                         { m_links.announce_generation(); });
    m_platform.set_leaving_listener([this](const std::set<std::string>& targets)
                                    { m_links.note_leaving(targets); });
    for (const runtime::address& seed : m_settings.seeds)
        m_links.add_seed(seed.text());

    m_tree.add(std::make_unique<runtime::looping_child>(
        "link_keeper",
        [this]
        {
            constexpr std::chrono::milliseconds interval{50};
            m_links.maintain();
            return interval;
        }));
    m_tree.add(std::make_unique<runtime::looping_child>(
        "manifest_reader", [this] { return m_platform.read_manifest(); }));
    m_tree.add(std::make_unique<runtime::looping_child>(
        "instances_reader",
        [this]
        {
            return m_platform.read_instances(
                static_cast<std::uint32_t>(m_links.entries_per_sidecar()));
        }));
    m_tree.add(caller_server());
    m_tree.add(admin_server());
}

std::unique_ptr<runtime::http_server> entry::caller_server()
{
    auto server = std::make_unique<runtime::http_server>(
        "caller_server", m_settings.listen,
        runtime::http_server::bounds{8, m_settings.http_threads,
                                     m_settings.max_body_bytes});
    m_callers.add_to(*server);
    return server;
}

std::unique_ptr<runtime::http_server> entry::admin_server()
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
    return m_store.generation() > 0 && !m_callers.is_draining() &&
           m_router.is_complete();
}

runtime::http_reply entry::status() const
{
    const nlohmann::json body{{"role", "entry"},
                              {"id", m_settings.id},
                              {"zone", m_settings.zone},
                              {"generation", m_store.generation()},
                              {"ready", is_ready()},
                              {"draining", m_callers.is_draining()},
                              {"in_progress", m_callers.in_progress()},
                              {"entries", m_links.entry_count()},
                              {"restarted_parts", m_tree.restarts()}};
    return {200, "application/json", body.dump(), 0};
}

} // namespace mangofold::entry
