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

/// The links of an entry, one to each sidecar that the entry sends work to.
///
/// In large pools an entry links to a subset of the sidecars only. All
/// functions may be called from any thread.
class link_table : public dispatcher
{
public:
    link_table(const link_context& context, std::size_t links_per_pool);

    /// Adds and closes links so that they match the manifest in \a snapshot.
    void configure(const configuration::snapshot_ptr& snapshot);

    /// Adds a link to a sidecar of which only the address is known, to receive
    /// the first manifest from it.
    void add_seed(const std::string& address);

    /// Opens links that are down and closes silent ones. Must be called
    /// periodically.
    void maintain();

    /// Closes all links for good.
    void close();

    /// Sends the current manifest generation to all sidecars.
    void announce_generation();

    /// Stops routing to \a targets, which the platform reports as leaving, and
    /// tells their sidecars. Must be repeated while the platform lists them.
    void note_leaving(const std::set<std::string>& targets);

    /// Returns the average number of entries connected to a sidecar.
    double entries_per_sidecar() const;

    /// Returns the estimated total number of entries, see
    /// decision::estimated_entry_count().
    double entry_count() const;

    std::optional<sent_submission>
    submit(const std::string& target, decision::submission work,
           const std::shared_ptr<mailbox>& replies) override;
    void cancel(const sent_submission& sent) override;
    bool request_ticket(const std::string& target,
                        const std::shared_ptr<mailbox>& replies) override;

private:
    using link_ptr = std::shared_ptr<sidecar_link>;

    /// Returns the ids of the targets of \a pool that this entry links to.
    std::set<std::string> subset(const manifest::pool& pool) const;
    link_ptr find_or_open(const std::string& target);
    std::map<std::string, link_ptr> links() const;

    const link_context& m_context;
    std::size_t m_links_per_pool;
    mutable std::mutex m_mutex;
    std::map<std::string, link_ptr> m_links;
    std::map<std::string, std::string> m_addresses; ///< By target id.
};

} // namespace mangofold::entry
