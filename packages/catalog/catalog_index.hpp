#pragma once

#include "catalog/catalog.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace mangofold::catalog
{

/// One version of the catalog, ready for look-ups. Never changes.
class catalog_index
{
public:
    explicit catalog_index(document content);

    std::uint64_t version() const { return m_content.version; }
    const document& content() const { return m_content; }

    /// Returns the route of \a host with the longest prefix that begins
    /// \a path, or nothing.
    const route* find_route(std::string_view host, std::string_view path) const;

    const service* find_service(const std::string& name) const;

    /// Returns the account that holds \a key, or nothing.
    const account* find_account(const std::string& key) const;

private:
    document m_content;
    std::unordered_map<std::string, std::vector<const route*>> m_by_host;
    std::unordered_map<std::string, const service*> m_services;
    std::unordered_map<std::string, const account*> m_by_key;
};

using catalog_ptr = std::shared_ptr<const catalog_index>;

} // namespace mangofold::catalog
