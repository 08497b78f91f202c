#pragma once

#include "serving/gatherer.hpp"
#include "serving/peer_link.hpp"
#include "serving/source_reader.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// The other entries: finds them from a few known ones, sees which answer,
/// and evens out what they hold.
class peer_mesh : public peer_listener
{
public:
    peer_mesh(entry_context& context, source_reader& source, gatherer& own);

    /// Starts with the known entries, and drives what depends on time only.
    awaitable<void> run();

    /// Notes that an entry can be reached at \a address.
    void add(const std::string& address);

    /// Returns the link to the entry that gathers \a service, or nothing
    /// where this one does.
    peer_link* gathering(const std::string& service) const;

    /// Notes that this entry is about to end.
    void set_stopping() { m_roster.set_stopping(); }

    using work_sink = std::function<void(std::vector<orphaned_job>)>;
    void set_work_sink(work_sink sink) { m_sink = std::move(sink); }

    peer::Holding holding() const override;
    peer::Want note_holding(const std::string& address,
                            const peer::Holding& theirs) override;
    decision::entry_roster::watch watch_of(const std::string& address,
                                           bool holds_work) const override;
    void note_lost(const std::string& address) override;
    void take_catalog(const std::string& text) override;
    void take_targets(const peer::Targets& targets) override;
    void take_back(std::vector<orphaned_job> jobs) override;

private:
    void forget_lost();
    void update_services();
    bool wants_targets(const peer::Holding& theirs);
    bool is_seed(const std::string& address) const;

    entry_context& m_context;
    source_reader& m_source;
    gatherer& m_gatherer;
    decision::entry_roster m_roster;
    std::uint64_t m_services_of = 0; ///< Catalog version.
    std::uint64_t m_seen_changes = 0;
    instant m_changed_at{}; ///< The directory, as seen here.
    instant m_asked_at{};   ///< Another entry for what it holds.
    std::map<std::string, std::shared_ptr<peer_link>> m_links;
    std::map<std::string, instant> m_added_at;
    work_sink m_sink;
};

} // namespace mangofold::serving
