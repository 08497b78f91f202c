#include "entry/link_table.hpp"

#include "decision/account_limiter.hpp"
#include "decision/owner_order.hpp"

#include <algorithm>

namespace mangofold::entry
{

link_table::link_table(const link_context& context, std::size_t links_per_pool)
    : m_context(context), m_links_per_pool(links_per_pool)
{
}

void link_table::configure(const configuration::snapshot_ptr& snapshot)
{
    std::vector<link_ptr> closed;
    {
        const std::lock_guard lock(m_mutex);
        m_addresses.clear();
        std::set<std::string> wanted;
        for (const manifest::pool& pool : snapshot->document.pools)
        {
            for (const manifest::target& target : pool.targets)
                m_addresses[target.id] = target.sidecar;
            wanted.merge(subset(pool));
        }
        for (auto link = m_links.begin(); link != m_links.end();)
        {
            const auto address = m_addresses.find(link->first);
            const bool is_kept = address != m_addresses.end() &&
                                 address->second == link->second->address();
            if (!is_kept)
                closed.push_back(link->second);
            link = is_kept ? std::next(link) : m_links.erase(link);
        }
        for (const std::string& target : wanted)
        {
            if (!m_links.contains(target))
                m_links[target] = std::make_shared<sidecar_link>(
                    m_context, target, m_addresses.at(target));
        }
    }
    for (const link_ptr& link : closed)
        link->close();
}

// At the fleet size that the system is designed for, a full mesh would need
// more memory than each process has. Each entry therefore links to a subset of
// a pool, preferring its own zone. Rendezvous hashing keeps the subsets
// balanced and changes few links when the pool changes.
std::set<std::string> link_table::subset(const manifest::pool& pool) const
{
    std::vector<std::string> local;
    std::vector<std::string> remote;
    for (const manifest::target& target : pool.targets)
        (target.zone == m_context.zone ? local : remote).push_back(target.id);
    const decision::digest own =
        decision::digest_of(m_context.entry_id, pool.id);
    std::set<std::string> chosen;
    const auto add_in_order =
        [&](std::vector<std::string> targets, std::size_t max_links)
    {
        for (std::string& target : decision::owner_order(own, targets))
        {
            if (chosen.size() < max_links)
                chosen.insert(std::move(target));
        }
    };
    const std::size_t reserved_for_remote = m_links_per_pool / 4;
    add_in_order(std::move(local), m_links_per_pool - reserved_for_remote);
    add_in_order(std::move(remote), m_links_per_pool);
    return chosen;
}

void link_table::add_seed(const std::string& address)
{
    const std::lock_guard lock(m_mutex);
    const std::string name = "seed " + address;
    m_links[name] = std::make_shared<sidecar_link>(m_context, name, address);
}

void link_table::maintain()
{
    for (const auto& [target, link] : links())
        link->maintain();
}

void link_table::close()
{
    for (const auto& [target, link] : links())
        link->close();
}

void link_table::announce_generation()
{
    for (const auto& [target, link] : links())
        link->announce_generation();
}

void link_table::note_leaving(const std::set<std::string>& targets)
{
    for (const std::string& target : targets)
    {
        m_context.routes.target_left(target);
        if (const link_ptr link = find_or_open(target))
            link->announce_leaving();
    }
}

double link_table::entries_per_sidecar() const
{
    const auto all = links();
    double sum = 0;
    for (const auto& [target, link] : all)
        sum += link->entry_count();
    return all.empty() ? 1 : sum / static_cast<double>(all.size());
}

double link_table::entry_count() const
{
    const double per_sidecar = entries_per_sidecar();
    const std::lock_guard lock(m_mutex);
    return decision::estimated_entry_count(per_sidecar, m_addresses.size(),
                                           m_links.size());
}

std::optional<sent_submission>
link_table::submit(const std::string& target, decision::submission work,
                   const std::shared_ptr<mailbox>& replies)
{
    const link_ptr link = find_or_open(target);
    if (!link)
        return std::nullopt;
    return link->submit(std::move(work), replies);
}

void link_table::cancel(const sent_submission& sent)
{
    if (const link_ptr link = find_or_open(sent.target))
        link->cancel(sent.number);
}

bool link_table::request_ticket(const std::string& target,
                                const std::shared_ptr<mailbox>& replies)
{
    const link_ptr link = find_or_open(target);
    return link && link->request_ticket(replies);
}

// The owner of a request that must not be repeated can be outside the subset of
// this entry. The link to it is then opened on first use.
link_table::link_ptr link_table::find_or_open(const std::string& target)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_links.find(target);
    if (found != m_links.end())
        return found->second;
    const auto address = m_addresses.find(target);
    if (address == m_addresses.end())
        return nullptr;
    auto link =
        std::make_shared<sidecar_link>(m_context, target, address->second);
    m_links[target] = link;
    link->maintain();
    return link;
}

std::map<std::string, link_table::link_ptr> link_table::links() const
{
    const std::lock_guard lock(m_mutex);
    return m_links;
}

} // namespace mangofold::entry
