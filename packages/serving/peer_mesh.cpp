#include "serving/peer_mesh.hpp"

#include "runtime/event.hpp"
#include "serving/peer_messages.hpp"
#include "serving/zone_notices.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

constexpr duration tick = std::chrono::milliseconds(500);

/// An entry that has not answered for this long is forgotten, unless the
/// settings name it; it makes itself known again when it starts.
constexpr duration forget_after = std::chrono::seconds(30);

} // namespace

peer_mesh::peer_mesh(entry_context& context, source_reader& source,
                     gatherer& own)
    : m_context(context), m_source(source), m_gatherer(own),
      m_roster(context.settings.announced.text(), context.settings.cores)
{
    context.quarantine.set_own_name(m_roster.own());
}

bool peer_mesh::is_seed(const std::string& address) const
{
    const auto& seeds = m_context.settings.seeds;
    return std::any_of(seeds.begin(), seeds.end(),
                       [&address](const runtime::address& one)
                       { return one.text() == address; });
}

void peer_mesh::add(const std::string& address)
{
    if (address == m_roster.own() || m_links.contains(address))
        return;
    try
    {
        runtime::address::parse(address);
    }
    catch (const runtime::address_error&)
    {
        m_context.count("entries_refused", "why", "address");
        return;
    }
    auto link = std::make_shared<peer_link>(m_context, *this, address);
    m_links[address] = link;
    m_added_at[address] = m_context.now();
    spawn(m_context.loop, link->run());
}

peer_link* peer_mesh::gathering(const std::string& service)
{
    m_roster.set_has_catalog(m_context.is_informed());
    const auto found = m_links.find(m_roster.gatherer_of(service));
    return found == m_links.end() ? nullptr : found->second.get();
}

decision::entry_roster::watch peer_mesh::watch_of(const std::string& address,
                                                  bool holds_work) const
{
    return m_roster.watch_of(address, holds_work, m_context.now());
}

// All entries hear of it at once. They would ask only a second later, and in
// the meantime those told to stop one after the other hand their work on to
// the next one that stops.
void peer_mesh::set_stopping()
{
    m_roster.set_stopping(m_context.now());
    for (const auto& [address, link] : m_links)
        link->ask_now();
}

void peer_mesh::note_asker(const std::string& address,
                           const peer::Holding& theirs)
{
    take_zone_words(m_context, zones_of(theirs), address);
    if (theirs.is_stopping())
        m_roster.note_stopping(address, m_context.now() -
                                            duration(theirs.stopping_for_ns()));
}

void peer_mesh::note_lost(const std::string& address)
{
    m_roster.note_lost(address);
    m_lacks_catalog.note_lost(address);
    m_lacks_targets.note_lost(address);
}

peer::Holding peer_mesh::holding(std::size_t known) const
{
    peer::Holding own;
    own.set_catalog_version(m_context.catalog ? m_context.catalog->version()
                                              : 0);
    own.set_targets_digest(m_context.directory.digest());
    for (const std::string& one : m_roster.some(known, m_context.random))
        own.add_entries(one);
    own.set_cores(m_context.settings.cores);
    own.set_is_settled(is_settled());
    own.set_known(static_cast<std::uint32_t>(m_roster.size()));
    own.set_is_stopping(m_context.is_stopping());
    if (m_context.drain)
        own.set_stopping_for_ns(
            (m_context.now() - m_context.drain->started_at()).count());
    own.set_has_targets(m_context.knows_targets);
    own.set_ends_summary(m_context.quarantine.ends().summary());
    write_zones(m_context.evacuations.known(), own);
    for (const auto& [service, said] : m_gatherer.waits())
    {
        peer::Backlog& one = *own.add_backlogs();
        one.set_service(service);
        one.set_in_time_ns(said.on_time.count());
        one.set_wait_ns(said.late.count());
        one.set_call_ns(said.call_time.count());
    }
    return own;
}

void peer_mesh::drop_copy(const std::string& address)
{
    const auto found = m_links.find(address);
    if (found != m_links.end())
        found->second->drop_copy();
}

void peer_mesh::note_level(decision::catch_up& lacking)
{
    // What another entry still sends only takes room on the way.
    if (!lacking.under_way().empty())
        drop_copy(lacking.under_way());
    lacking.note_level();
}

bool peer_mesh::asks(decision::catch_up& lacking, const std::string& address)
{
    lacking.set_bound(m_context.settings.adoption_time);
    const std::string before = lacking.under_way();
    if (!lacking.asks(address, m_source.state(), m_context.now()))
        return false;
    if (!before.empty() && before != address)
        drop_copy(before);
    return true;
}

bool peer_mesh::wants_catalog(const std::string& address,
                              const peer::Holding& theirs)
{
    const std::uint64_t own =
        m_context.catalog ? m_context.catalog->version() : 0;
    m_newest_version = std::max(m_newest_version, theirs.catalog_version());
    if (own >= m_newest_version)
        note_level(m_lacks_catalog);
    if (theirs.catalog_version() <= own || !asks(m_lacks_catalog, address))
        return false;
    runtime::event("catalog_asked_for")
        .with("entry", address)
        .with("version", theirs.catalog_version())
        .with("before", own)
        .info();
    return true;
}

bool peer_mesh::wants_targets(const std::string& address,
                              const peer::Holding& theirs)
{
    if (theirs.targets_digest() == m_context.directory.digest())
    {
        note_level(m_lacks_targets);
        return false;
    }
    if (!asks(m_lacks_targets, address))
        return false;
    m_context.count("relay_asked", "what", "targets");
    runtime::event("targets_asked_for")
        .with("entry", address)
        .with("is_list_whole", m_context.knows_all_targets)
        .info();
    return true;
}

peer::Want peer_mesh::note_holding(const std::string& address,
                                   const peer::Holding& theirs)
{
    m_roster.note_answer(address,
                         {theirs.cores(), theirs.is_stopping(),
                          theirs.is_settled(), theirs.known(),
                          theirs.catalog_version() > 0 && theirs.has_targets(),
                          duration(theirs.stopping_for_ns())},
                         m_context.now());
    m_context.entries_known =
        std::max(m_context.entries_known, m_roster.size());
    take_zone_words(m_context, zones_of(theirs), address);
    for (const std::string& one : theirs.entries())
        add(one);
    for (const peer::Backlog& one : theirs.backlogs())
        m_gatherer.note_wait(one.service(), {duration(one.in_time_ns()),
                                             duration(one.wait_ns()),
                                             duration(one.call_ns())});
    peer::Want want;
    want.set_catalog(wants_catalog(address, theirs));
    // One thing at a time: both would share the way.
    if (m_lacks_catalog.under_way().empty())
        want.set_targets(wants_targets(address, theirs));
    return want;
}

void peer_mesh::note_catalog_part(const std::string& address)
{
    m_lacks_catalog.note_part(address, m_context.now());
}

void peer_mesh::take_catalog(const std::string& address,
                             const std::string& text)
{
    runtime::event("catalog_received")
        .with("entry", address)
        .with("bytes", text.size())
        .info();
    m_lacks_catalog.note_end(address, m_context.now());
    m_source.adopt(text, "entry");
}

void peer_mesh::note_declined(const std::string& address)
{
    m_lacks_catalog.note_lost(address);
    m_lacks_targets.note_lost(address);
}

void peer_mesh::take_targets(const std::string& address,
                             const peer::Targets& targets)
{
    for (const decision::listed_target& one :
         serving::take_targets(targets, m_context.directory))
        m_context.note_cold(one);
    m_context.knows_targets = m_context.knows_targets || targets.targets_size();
    if (targets.has_more())
        m_lacks_targets.note_part(address, m_context.now());
    else
        m_lacks_targets.note_end(address, m_context.now());
}

void peer_mesh::take_back(std::vector<orphaned_job> jobs)
{
    if (m_sink)
        m_sink(std::move(jobs));
}

void peer_mesh::forget_lost()
{
    const instant now = m_context.now();
    for (auto one = m_links.begin(); one != m_links.end();)
    {
        const instant last =
            std::max(one->second->heard_at(), m_added_at[one->first]);
        if (one->second->is_alive() || is_seed(one->first) ||
            now < last + forget_after)
        {
            ++one;
            continue;
        }
        one->second->close();
        m_added_at.erase(one->first);
        one = m_links.erase(one);
    }
}

void peer_mesh::update_services()
{
    if (!m_context.catalog || m_context.catalog->version() == m_services_of)
        return;
    m_services_of = m_context.catalog->version();
    std::vector<std::string> services;
    for (const catalog::service& one : m_context.catalog->content().services)
        if (one.calls)
            services.push_back(one.name);
    m_roster.set_services(std::move(services));
}

void peer_mesh::set_started()
{
    std::vector<std::string> seeds;
    for (const runtime::address& one : m_context.settings.seeds)
        seeds.push_back(one.text());
    m_roster.set_started(std::move(seeds), m_context.now());
}

awaitable<void> peer_mesh::run()
{
    loop_timer timer(m_context.loop);
    for (;;)
    {
        // The settings can name other ones while this process runs.
        for (const runtime::address& one : m_context.settings.seeds)
            add(one.text());
        error_code ignored; // Nobody cancels it.
        timer.expires_after(tick);
        co_await timer.async_wait(store_error_in(ignored));
        forget_lost();
        update_services();
        m_context.entries_answering = m_roster.size();
        m_source.end_long_watch();
    }
}

} // namespace mangofold::serving
