#include "decision/stages/call_planner.hpp"

#include <iterator>

namespace mangofold::decision
{

namespace
{

/// Whether \a listed holds another start of the target of \a start.
template<typename Map>
bool has_restarted(const target_incarnation& incarnation, const Map& listed)
{
    const auto found =
        listed.lower_bound(target_incarnation(incarnation.id, 0));
    return found != listed.end() && found->first.id == incarnation.id &&
           found->first.started_ms != incarnation.started_ms;
}

} // namespace

// A target that is no longer listed may go on running for a while and keep its
// results; a target that restarted under the same id has lost them. Pieces of
// downstream stages with such inputs would be refused, one call's time later.
void call_planner::requeue_results_of(const stage_target& producer)
{
    for (auto& entry : m_jobs)
    {
        job_state& state = entry.second;
        const auto is_lost = [&](const auto& result)
        {
            if (!producer.stored.contains(result.second))
                return false;
            state.waiting.push_back(result.first);
            ++m_waiting_pieces;
            return true;
        };
        std::erase_if(state.results, is_lost);
    }
}

void call_planner::set_targets(
    const std::map<target_incarnation, std::string>& zones)
{
    for (auto entry = m_targets.begin(); entry != m_targets.end();)
    {
        if (zones.contains(entry->first))
        {
            ++entry;
            continue;
        }
        if (has_restarted(entry->first, zones))
            requeue_results_of(entry->second);
        entry = m_targets.erase(entry);
    }
    for (const auto& [incarnation, zone] : zones)
    {
        stage_target& target = m_targets[incarnation];
        target.incarnation = incarnation;
        target.zone = zone;
    }
}

void call_planner::set_call_limit(const target_incarnation& target,
                                  instant next_call_at, duration min_interval)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    found->second.next_call_at = next_call_at;
    found->second.min_call_interval = min_interval;
}

bool call_planner::is_stored(const target_incarnation& target,
                             const std::string& handle, instant now) const
{
    const auto producer = m_targets.find(target);
    if (producer == m_targets.end())
        return false;
    const auto& stored = producer->second.stored;
    const auto result = stored.find(handle);
    return result != stored.end() && result->second.expires_at > now;
}

} // namespace mangofold::decision
