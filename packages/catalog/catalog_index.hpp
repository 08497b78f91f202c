#pragma once

#include "catalog/catalog.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace mangofold::catalog
{

/// An immutable version of the catalog with indexes for look-ups by host,
/// service name and API key.
class catalog_index
{
public:
    explicit catalog_index(document content);

    std::uint64_t version() const { return m_content.version; }
    const document& content() const { return m_content; }

    /// Returns the route of \a host with the longest prefix of \a path, or null
    /// if none matches.
    const route* find_route(std::string_view host, std::string_view path) const;

    /// Returns the service \a name, or null if the catalog has none.
    const service* find_service(const std::string& name) const;

    /// Whether requests to \a service differ in rank: by the priorities of its
    /// routes or of the accounts.
    bool has_ranks(const std::string& service) const
    {
        return m_have_accounts_ranks || m_ranked_services.contains(service);
    }

    /// Returns the account of the API key \a key, or null if it is unknown.
    const account* find_account(const std::string& key) const;

private:
    void find_ranks();

    document m_content;
    std::unordered_map<std::string, std::vector<const route*>> m_routes_by_host;
    std::unordered_map<std::string, const service*> m_services_by_name;
    std::unordered_map<std::string, const account*> m_accounts_by_key;
    std::unordered_set<std::string> m_ranked_services; ///< By their routes.
    bool m_have_accounts_ranks = false;
};

using catalog_ptr = std::shared_ptr<const catalog_index>;

} // namespace mangofold::catalog
