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

    /// Returns the addresses of the entries that answer, and this one's.
    std::vector<std::string> answering() const;

    /// Returns the link to the entry at \a address, or nothing.
    peer_link* link_to(const std::string& address) const;

    const std::string& own_address() const { return m_own; }

    using work_sink = std::function<void(std::vector<orphaned_job>)>;
    void set_work_sink(work_sink sink) { m_sink = std::move(sink); }

    peer::Holding holding() const override;
    peer::Want note_holding(const std::string& address,
                            const peer::Holding& theirs) override;
    void take_catalog(const std::string& text) override;
    void take_targets(const peer::Targets& targets) override;
    void take_back(std::vector<orphaned_job> jobs) override;

private:
    void forget_lost();
    bool is_seed(const std::string& address) const;

    entry_context& m_context;
    source_reader& m_source;
    gatherer& m_gatherer;
    std::string m_own;
    std::map<std::string, std::shared_ptr<peer_link>> m_links;
    std::map<std::string, instant> m_added_at;
    work_sink m_sink;
};

} // namespace mangofold::serving
