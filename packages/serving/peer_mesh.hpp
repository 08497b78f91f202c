#pragma once

#include "decision/catch_up.hpp"
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
    peer_link* gathering(const std::string& service);

    /// Notes that this entry starts now and knows its seeds only.
    void set_started();

    /// Whether this entry has seen enough of the others to say who gathers.
    bool is_settled() const { return m_roster.is_settled(m_context.now()); }

    /// Returns the place of this entry among all for \a matter.
    decision::ordinal seat_for(const std::string& matter) const
    {
        return m_roster.ordinal_for(matter);
    }

    /// Notes that this entry is about to end.
    void set_stopping();

    /// Whether enough others go on for longer to take this one's callers.
    bool is_outlasted() const { return m_roster.is_outlasted(); }

    /// Takes in what an entry that asks this one says of itself.
    void note_asker(const std::string& address, const peer::Holding& theirs);

    using work_sink = std::function<void(std::vector<orphaned_job>)>;
    void set_work_sink(work_sink sink) { m_sink = std::move(sink); }

    /// Returns what this entry holds, for one that knows \a known entries.
    peer::Holding holding(std::size_t known) const;
    peer::Holding holding() const override { return holding(m_roster.size()); }
    peer::Want note_holding(const std::string& address,
                            const peer::Holding& theirs) override;
    decision::entry_roster::probe_schedule
    watch_of(const std::string& address, bool holds_work) const override;
    void note_lost(const std::string& address) override;
    void take_catalog(const std::string& address,
                      const std::string& text) override;
    void note_catalog_part(const std::string& address) override;
    void note_declined(const std::string& address) override;
    void take_targets(const std::string& address,
                      const peer::Targets& targets) override;
    void take_back(std::vector<orphaned_job> jobs) override;

private:
    void forget_lost();
    void update_services();
    bool wants_catalog(const std::string& address, const peer::Holding& theirs);
    bool wants_targets(const std::string& address, const peer::Holding& theirs);
    bool asks(decision::catch_up& lacking, const std::string& address);
    void note_level(decision::catch_up& lacking);
    void drop_copy(const std::string& address);
    bool is_seed(const std::string& address) const;

    entry_context& m_context;
    source_reader& m_source;
    gatherer& m_gatherer;
    decision::entry_roster m_roster;
    std::uint64_t m_services_of = 0;    ///< Catalog version.
    std::uint64_t m_newest_version = 0; ///< Of a catalog that any entry holds.
    decision::catch_up m_lacks_catalog;
    decision::catch_up m_lacks_targets;
    std::map<std::string, std::shared_ptr<peer_link>> m_links;
    std::map<std::string, instant> m_added_at;
    work_sink m_sink;
};

} // namespace mangofold::serving
