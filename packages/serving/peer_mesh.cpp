#include "serving/peer_mesh.hpp"

#include "serving/peer_messages.hpp"

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
      m_own(context.settings.peers.text())
{
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
    if (address == m_own || m_links.contains(address))
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
    start(m_context.loop, link->run());
}

std::vector<std::string> peer_mesh::answering() const
{
    std::vector<std::string> found;
    for (const auto& [address, link] : m_links)
        if (link->is_alive())
            found.push_back(address);
    // One that is about to end gathers only where nobody else is left.
    if (!m_context.is_stopping || found.empty())
        found.push_back(m_own);
    return found;
}

peer_link* peer_mesh::link_to(const std::string& address) const
{
    const auto found = m_links.find(address);
    return found == m_links.end() ? nullptr : found->second.get();
}

peer::Holding peer_mesh::holding() const
{
    peer::Holding own;
    own.set_catalog_version(m_context.catalog ? m_context.catalog->version()
                                              : 0);
    own.set_targets_digest(m_context.directory.digest());
    for (const std::string& one : answering())
        own.add_entries(one);
    own.set_is_stopping(m_context.is_stopping);
    for (const auto& [service, value] : m_gatherer.backlogs())
    {
        peer::Backlog& one = *own.add_backlogs();
        one.set_service(service);
        one.set_wait_ns(value.wait.count());
        one.set_call_ns(value.call.count());
    }
    return own;
}

peer::Want peer_mesh::note_holding(const std::string&,
                                   const peer::Holding& theirs)
{
    for (const std::string& one : theirs.entries())
        add(one);
    for (const peer::Backlog& one : theirs.backlogs())
        m_gatherer.note_backlog(
            one.service(), {duration(one.wait_ns()), duration(one.call_ns())});
    peer::Want want;
    const std::uint64_t version =
        m_context.catalog ? m_context.catalog->version() : 0;
    want.set_catalog(theirs.catalog_version() > version);
    want.set_targets(theirs.targets_digest() != m_context.directory.digest());
    return want;
}

void peer_mesh::take_catalog(const std::string& text)
{
    m_source.adopt(text, "entry");
}

void peer_mesh::take_targets(const peer::Targets& targets)
{
    serving::take_targets(targets, m_context.directory);
    m_context.knows_targets = m_context.knows_targets || targets.targets_size();
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
        co_await timer.async_wait(into(ignored));
        forget_lost();
        m_context.entries_known =
            std::max(m_context.entries_known, answering().size());
    }
}

} // namespace mangofold::serving
