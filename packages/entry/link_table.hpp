#pragma once

#include "entry/dispatcher.hpp"
#include "entry/sidecar_link.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace mangofold::entry
{

/// The links of an entry, one for each sidecar it works with.
class link_table : public dispatcher
{
public:
    link_table(const link_context& context, std::size_t links_per_pool);

    /// Takes the sidecars of a manifest over.
    void configure(const configuration::snapshot_ptr& value);

    /// Adds a sidecar of which only the address is known, to hear the first
    /// manifest from it.
    void add_seed(const std::string& address);

    /// Opens links that are down, ends silent ones. To be called often.
    void maintain();

    /// Ends every link.
    void close();

    /// Tells every sidecar the generation in force.
    void announce_generation();

    /// Notes which targets the platform calls leaving, and tells them. To be
    /// repeated for as long as it does.
    void note_leaving(const std::set<std::string>& targets);

    /// Returns how many entries one sidecar sees on average.
    double entries_per_sidecar() const;

    /// Returns how many entries there are, as estimated from that.
    double entry_count() const;

    std::optional<dispatched>
    submit(const std::string& target, decision::submission work,
           const std::shared_ptr<mailbox>& replies) override;
    void withdraw(const dispatched& sent) override;
    bool mint(const std::string& target,
              const std::shared_ptr<mailbox>& replies) override;

private:
    using link_ptr = std::shared_ptr<sidecar_link>;

    std::set<std::string> subset(const manifest::pool& pool) const;
    link_ptr link_to(const std::string& target);
    std::map<std::string, link_ptr> links() const;

    const link_context& m_context;
    std::size_t m_links_per_pool;
    mutable std::mutex m_mutex;
    std::map<std::string, link_ptr> m_links;
    std::map<std::string, std::string> m_addresses;
};

} // namespace mangofold::entry
