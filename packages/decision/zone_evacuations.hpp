#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mangofold::decision
{

/// Whether an availability zone is evacuated, as of a revision of the source.
struct zone_state
{
    std::string zone;
    std::uint64_t revision = 0;
    bool is_evacuated = false;

    friend bool operator==(const zone_state&, const zone_state&) = default;
};

/// The evacuations that one process knows, in a form to send to others.
struct zone_snapshot
{
    std::vector<zone_state> states;
    /// Zones that states does not name are not evacuated as of this revision;
    /// 0 while no process known here has read the full list of evacuations.
    std::uint64_t complete_as_of = 0;

    friend bool operator==(const zone_snapshot&,
                           const zone_snapshot&) = default;
};

/// The evacuated availability zones, whose targets get no requests, merged from
/// the updates that the source and other entries send in any order.
///
/// The newest revision of a zone wins, so a zone never returns to an older
/// state.
class zone_evacuations
{
public:
    /// Notes that a zone was evacuated, or that its evacuation ended. Returns
    /// whether that changes the set of evacuated zones.
    bool note(const zone_state& state);

    /// Merges the snapshot of another process or of the source. Returns whether
    /// that changes the set of evacuated zones.
    bool merge(const zone_snapshot& received);

    /// Returns what this process knows, to send to others.
    zone_snapshot snapshot() const;

    /// Whether the full list of evacuations was received, from the source or
    /// another process; until then any other zone may be evacuated too.
    bool is_complete() const { return m_complete_as_of > 0; }

    std::set<std::string> evacuated_zones() const;

    friend bool operator==(const zone_evacuations&,
                           const zone_evacuations&) = default;

private:
    std::map<std::string, zone_state> m_states; ///< By zone.
    std::uint64_t m_complete_as_of = 0;
};

} // namespace mangofold::decision
