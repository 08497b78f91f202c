#include "serving/peer_mesh.hpp"

#include "runtime/event.hpp"
#include "serving/peer_messages.hpp"
#include "serving/target_statements.hpp"
#include "serving/zone_notices.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

constexpr duration tick = std::chrono::milliseconds(500);

/// An entry that has not answered for this long is removed, unless it is a
/// seed; it announces itself again when it starts.
constexpr duration lost_entry_lifetime = std::chrono::seconds(30);

} // namespace

peer_mesh::peer_mesh(entry_context& context, source_reader& source,
                     piece_batcher& batcher)
    : m_context(context), m_source(source), m_batcher(batcher),
      m_roster(context.settings.announced_address.text(),
               context.settings.cores)
{
    context.quarantine.set_own_name(m_roster.own_address());
}

bool peer_mesh::is_seed(const std::string& address) const
{
    const auto& seeds = m_context.settings.seeds;
    return std::any_of(seeds.begin(), seeds.end(),
                       [&address](const runtime::address& seed)
                       { return seed.text() == address; });
}

void peer_mesh::add(const std::string& address)
{
    if (address == m_roster.own_address() || m_links.contains(address))
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

peer_link* peer_mesh::batching_peer(const std::string& service)
{
    m_roster.set_has_catalog(m_context.has_routing_state());
    const auto found = m_links.find(m_roster.batching_entry(service));
    return found == m_links.end() ? nullptr : found->second.get();
}

decision::entry_roster::probe_schedule
peer_mesh::probe_schedule_for(const std::string& address, bool holds_work) const
{
    return m_roster.probe_schedule_for(address, holds_work, m_context.now());
}

// All entries are told at once. Otherwise they would hear of it only with their
// next ping a second later, and entries that are stopped one after the other
// would hand their jobs to the one that stops next.
void peer_mesh::set_stopping()
{
    m_roster.set_stopping(m_context.now());
    for (const auto& [address, link] : m_links)
        link->ping_now();
}

void peer_mesh::handle_ping(const std::string& address,
                            const peer::Holding& peer_state)
{
    apply_zone_evacuations(m_context, read_zones(peer_state), address);
    if (peer_state.is_stopping())
        m_roster.note_stopping(
            address, m_context.now() - duration(peer_state.stopping_for_ns()));
}

void peer_mesh::note_lost(const std::string& address)
{
    m_roster.note_lost(address);
    m_schedulers.erase(address);
    m_stream_keepers.erase(address);
    if (m_context.streams != nullptr)
        m_context.streams->note_lost(address);
    m_catalog_catch_up.note_unavailable(address);
    m_target_catch_up.note_unavailable(address);
}

peer::Holding peer_mesh::holding(std::size_t known_entries) const
{
    peer::Holding state;
    state.set_catalog_version(m_context.catalog ? m_context.catalog->version()
                                                : 0);
    state.set_targets_digest(m_context.directory.digest());
    for (const std::string& entry :
         m_roster.sample(known_entries, m_context.random))
        state.add_entries(entry);
    state.set_cores(m_context.settings.cores);
    state.set_is_settled(is_settled());
    state.set_known(static_cast<std::uint32_t>(m_roster.size()));
    state.set_is_stopping(m_context.is_stopping());
    if (m_context.drain)
        state.set_stopping_for_ns(
            (m_context.now() - m_context.drain->started_at()).count());
    state.set_has_targets(m_context.has_some_targets);
    state.set_ends_summary(m_context.quarantine.crashes().summary());
    state.set_limits_digest(m_context.request_limits.digest());
    state.set_schedules_engines(m_context.scheduler != nullptr);
    state.set_keeps_streams(m_context.streams != nullptr);
    write_zones(m_context.evacuations.snapshot(), state);
    for (const auto& [service, times] : m_batcher.wait_times())
    {
        peer::Backlog& backlog = *state.add_backlogs();
        backlog.set_service(service);
        backlog.set_in_time_ns(times.on_time.count());
        backlog.set_wait_ns(times.late.count());
        backlog.set_call_ns(times.call_time.count());
        backlog.set_time_per_piece_ns(times.time_per_piece.count());
    }
    return state;
}

void peer_mesh::cancel_copy(const std::string& address)
{
    const auto found = m_links.find(address);
    if (found != m_links.end())
        found->second->cancel_copy();
}

void peer_mesh::note_up_to_date(decision::catch_up& catch_up)
{
    // A copy that another entry is still sending only takes bandwidth now.
    if (!catch_up.pending_peer().empty())
        cancel_copy(catch_up.pending_peer());
    catch_up.note_up_to_date();
}

bool peer_mesh::should_request(decision::catch_up& catch_up,
                               const std::string& address)
{
    catch_up.set_adoption_time(m_context.settings.max_configuration_delay);
    const std::string before = catch_up.pending_peer();
    if (!catch_up.should_request(address, m_source.source_state(),
                                 m_context.now()))
        return false;
    if (!before.empty() && before != address)
        cancel_copy(before);
    return true;
}

bool peer_mesh::should_request_catalog(const std::string& address,
                                       const peer::Holding& peer_state)
{
    const std::uint64_t own_version =
        m_context.catalog ? m_context.catalog->version() : 0;
    m_newest_catalog_version =
        std::max(m_newest_catalog_version, peer_state.catalog_version());
    if (own_version >= m_newest_catalog_version)
        note_up_to_date(m_catalog_catch_up);
    if (peer_state.catalog_version() <= own_version ||
        !should_request(m_catalog_catch_up, address))
        return false;
    runtime::event("catalog_asked_for")
        .with("entry", address)
        .with("version", peer_state.catalog_version())
        .with("before", own_version)
        .info();
    return true;
}

bool peer_mesh::should_request_targets(const std::string& address,
                                       const peer::Holding& peer_state)
{
    if (peer_state.targets_digest() == m_context.directory.digest())
    {
        note_up_to_date(m_target_catch_up);
        return false;
    }
    if (!should_request(m_target_catch_up, address))
        return false;
    m_context.count("relay_asked", "what", "targets");
    runtime::event("targets_asked_for")
        .with("entry", address)
        .with("is_list_whole", m_context.has_all_targets)
        .info();
    return true;
}

peer::Want peer_mesh::handle_holding(const std::string& address,
                                     const peer::Holding& peer_state)
{
    m_roster.note_answer(
        address,
        {peer_state.cores(), peer_state.is_stopping(), peer_state.is_settled(),
         peer_state.known(),
         peer_state.catalog_version() > 0 && peer_state.has_targets(),
         duration(peer_state.stopping_for_ns())},
        m_context.now());
    if (peer_state.schedules_engines())
        m_schedulers.insert(address);
    else
        m_schedulers.erase(address);
    if (peer_state.keeps_streams())
        m_stream_keepers.insert(address);
    else
        m_stream_keepers.erase(address);
    m_context.peak_entries = std::max(m_context.peak_entries, m_roster.size());
    apply_zone_evacuations(m_context, read_zones(peer_state), address);
    for (const decision::limit_statement& statement :
         read_request_limits(peer_state, m_context.now()))
        merge_request_limit(m_context, statement, address);
    for (const std::string& entry : peer_state.entries())
        add(entry);
    for (const peer::Backlog& backlog : peer_state.backlogs())
        m_batcher.note_wait_times(backlog.service(), read_wait_times(backlog));
    peer::Want want;
    want.set_catalog(should_request_catalog(address, peer_state));
    // One copy at a time: two would share the bandwidth.
    if (m_catalog_catch_up.pending_peer().empty())
        want.set_targets(should_request_targets(address, peer_state));
    return want;
}

void peer_mesh::note_catalog_part(const std::string& address)
{
    m_catalog_catch_up.note_progress(address, m_context.now());
}

void peer_mesh::handle_catalog(const std::string& address,
                               const std::string& text)
{
    runtime::event("catalog_received")
        .with("entry", address)
        .with("bytes", text.size())
        .info();
    m_catalog_catch_up.note_complete(address, m_context.now());
    m_source.apply_catalog(text, "entry");
}

void peer_mesh::note_copy_declined(const std::string& address)
{
    m_catalog_catch_up.note_unavailable(address);
    m_target_catch_up.note_unavailable(address);
}

void peer_mesh::handle_targets(const std::string& address,
                               const peer::Targets& targets)
{
    for (const decision::listed_target& target :
         serving::apply_targets(targets, m_context.directory))
        m_context.note_cold(target);
    m_context.has_some_targets =
        m_context.has_some_targets || targets.targets_size();
    if (targets.has_more())
        m_target_catch_up.note_progress(address, m_context.now());
    else
        m_target_catch_up.note_complete(address, m_context.now());
}

void peer_mesh::take_back_jobs(std::vector<routed_job> jobs)
{
    if (m_job_sink)
        m_job_sink(std::move(jobs));
}

void peer_mesh::remove_lost_entries()
{
    const instant now = m_context.now();
    for (auto link = m_links.begin(); link != m_links.end();)
    {
        const instant last_heard_at =
            std::max(link->second->last_heard_at(), m_added_at[link->first]);
        if (link->second->is_alive() || is_seed(link->first) ||
            now < last_heard_at + lost_entry_lifetime)
        {
            ++link;
            continue;
        }
        link->second->close();
        m_added_at.erase(link->first);
        link = m_links.erase(link);
    }
}

void peer_mesh::set_started()
{
    std::vector<std::string> seeds;
    for (const runtime::address& seed : m_context.settings.seeds)
        seeds.push_back(seed.text());
    m_roster.set_started(std::move(seeds), m_context.now());
}

awaitable<void> peer_mesh::run()
{
    loop_timer timer(m_context.loop);
    for (;;)
    {
        // The seeds can change with the settings while this process runs.
        for (const runtime::address& seed : m_context.settings.seeds)
            add(seed.text());
        error_code ignored; // No other code cancels this timer.
        timer.expires_after(tick);
        co_await timer.async_wait(store_error_in(ignored));
        remove_lost_entries();
        update_services();
        m_context.responding_entries = m_roster.size();
        m_source.end_long_watch();
    }
}

} // namespace mangofold::serving
