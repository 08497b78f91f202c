#include "catalog/catalog_index.hpp"

#include <algorithm>

namespace mangofold::catalog
{

catalog_index::catalog_index(document content) : m_content(std::move(content))
{
    for (const route& route : m_content.routes)
        m_routes_by_host[route.host].push_back(&route);
    for (auto& [host, routes] : m_routes_by_host)
        std::stable_sort(routes.begin(), routes.end(),
                         [](const route* left, const route* right) {
                             return left->prefix.size() > right->prefix.size();
                         });
    for (const service& service : m_content.services)
        m_services_by_name[service.name] = &service;
    for (const account& account : m_content.accounts)
        for (const std::string& key : account.keys)
            m_accounts_by_key[key] = &account;
    find_ranks();
}

void catalog_index::find_ranks()
{
    std::unordered_map<std::string, std::uint32_t> priorities;
    for (const route& route : m_content.routes)
        for (const weighted_service& part : route.services)
        {
            const auto known =
                priorities.try_emplace(part.service, route.priority).first;
            if (known->second != route.priority)
                m_ranked_services.insert(part.service);
        }
    const auto& accounts = m_content.accounts;
    m_have_accounts_ranks =
        std::any_of(accounts.begin(), accounts.end(),
                    [&](const account& other)
                    { return other.priority != accounts.front().priority; });
}

const route* catalog_index::find_route(std::string_view host,
                                       std::string_view path) const
{
    const auto routes = m_routes_by_host.find(std::string(host));
    if (routes == m_routes_by_host.end())
        return nullptr;
    for (const route* route : routes->second)
        if (path.starts_with(route->prefix))
            return route;
    return nullptr;
}

const service* catalog_index::find_service(const std::string& name) const
{
    const auto found = m_services_by_name.find(name);
    return found == m_services_by_name.end() ? nullptr : found->second;
}

const account* catalog_index::find_account(const std::string& key) const
{
    const auto found = m_accounts_by_key.find(key);
    return found == m_accounts_by_key.end() ? nullptr : found->second;
}

} // namespace mangofold::catalog
