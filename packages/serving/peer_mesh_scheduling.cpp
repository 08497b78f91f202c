#include "decision/engines/engine_groups.hpp"
#include "serving/peer_mesh.hpp"

namespace mangofold::serving
{

// An entry of an older version may be elected but does not answer.
std::string peer_mesh::scheduler_of(const std::string& group)
{
    if (!is_settled())
        return {};
    m_roster.set_has_catalog(m_context.has_routing_state());
    const std::string& elected = m_roster.batching_entry(group);
    return m_schedulers.contains(elected) ? elected : std::string();
}

std::vector<std::string> peer_mesh::stream_keepers() const
{
    std::vector<std::string> keepers = m_roster.remaining_entries();
    std::erase_if(keepers, [this](const std::string& address)
                  { return !m_stream_keepers.contains(address); });
    return keepers;
}

void peer_mesh::send(const std::string& address, const peer::Frame& frame)
{
    const auto found = m_links.find(address);
    if (found != m_links.end())
        found->second->send(frame);
}

// The groups of engines change with the list of targets, not only with the
// catalog.
void peer_mesh::update_services()
{
    if (!m_context.catalog)
        return;
    std::vector<std::string> services;
    for (const catalog::service& service :
         m_context.catalog->content().services)
    {
        if (service.calls)
            services.push_back(service.name);
        if (service.engine)
            for (const std::string& group : decision::engine_groups(
                     service.name,
                     m_context.directory.serving(service.name).size()))
                services.push_back(group);
    }
    m_roster.set_services(std::move(services));
}

} // namespace mangofold::serving
