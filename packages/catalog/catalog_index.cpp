#include "catalog/catalog_index.hpp"

#include <algorithm>

namespace mangofold::catalog
{

catalog_index::catalog_index(document content) : m_content(std::move(content))
{
    for (const route& one : m_content.routes)
        m_by_host[one.host].push_back(&one);
    for (auto& [host, routes] : m_by_host)
        std::stable_sort(routes.begin(), routes.end(),
                         [](const route* left, const route* right) {
                             return left->prefix.size() > right->prefix.size();
                         });
    for (const service& one : m_content.services)
        m_services[one.name] = &one;
    for (const account& one : m_content.accounts)
        for (const std::string& key : one.keys)
            m_by_key[key] = &one;
}

const route* catalog_index::find_route(std::string_view host,
                                       std::string_view path) const
{
    const auto routes = m_by_host.find(std::string(host));
    if (routes == m_by_host.end())
        return nullptr;
    for (const route* one : routes->second)
        if (path.starts_with(one->prefix))
            return one;
    return nullptr;
}

const service* catalog_index::find_service(const std::string& name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

const account* catalog_index::find_account(const std::string& key) const
{
    const auto found = m_by_key.find(key);
    return found == m_by_key.end() ? nullptr : found->second;
}

} // namespace mangofold::catalog
