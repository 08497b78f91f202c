#include "decision/zone_evacuations.hpp"

#include <algorithm>

namespace mangofold::decision
{

bool zone_evacuations::note(const zone_state& state)
{
    zone_state& known = m_states[state.zone];
    if (state.revision <= known.revision)
        return false;
    const bool was_evacuated = known.is_evacuated;
    known = state;
    return known.is_evacuated != was_evacuated;
}

// A process that read the full list at a revision did not see the zones there
// that its snapshot does not name. A zone whose evacuation ended while no
// process here could read the source is known to be in use again by that alone:
// the update that ended the evacuation may be lost.
bool zone_evacuations::merge(const zone_snapshot& received)
{
    const std::set<std::string> before = evacuated_zones();
    std::set<std::string> named;
    for (const zone_state& state : received.states)
    {
        named.insert(state.zone);
        note(state);
    }
    for (auto& [zone, known] : m_states)
        if (!named.contains(zone) && known.revision < received.complete_as_of)
            known = {zone, received.complete_as_of, false};
    m_complete_as_of = std::max(m_complete_as_of, received.complete_as_of);
    return evacuated_zones() != before;
}

zone_snapshot zone_evacuations::snapshot() const
{
    zone_snapshot result;
    result.complete_as_of = m_complete_as_of;
    for (const auto& [zone, state] : m_states)
        result.states.push_back(state);
    return result;
}

std::set<std::string> zone_evacuations::evacuated_zones() const
{
    std::set<std::string> zones;
    for (const auto& [zone, state] : m_states)
        if (state.is_evacuated)
            zones.insert(zone);
    return zones;
}

} // namespace mangofold::decision
