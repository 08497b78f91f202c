#include "decision/call_planner.hpp"

#include <iterator>

namespace mangofold::decision
{

namespace
{

/// Whether a start other than \a one stands under its id in \a all.
template<typename Map>
bool is_reborn(const target_incarnation& one, const Map& all)
{
    const auto same = all.lower_bound(target_incarnation(one.id, 0));
    return same != all.end() && same->first.id == one.id &&
           same->first.started_ms != one.started_ms;
}

} // namespace

// A target that is gone from the list may go on for a while and keep what it
// made; one that started again under its id has nothing of it. Pieces with
// such inputs would all be refused, a call's time later.
void call_planner::lose_results(const stage_target& maker)
{
    for (auto& job : m_jobs)
    {
        job_state& state = job.second;
        const auto is_lost = [&](const auto& made)
        {
            if (!maker.kept.contains(made.second))
                return false;
            state.waiting.push_back(made.first);
            ++m_waiting_pieces;
            return true;
        };
        std::erase_if(state.made, is_lost);
    }
}

void call_planner::set_targets(
    const std::map<target_incarnation, std::string>& zones)
{
    for (auto one = m_targets.begin(); one != m_targets.end();)
    {
        if (zones.contains(one->first))
        {
            ++one;
            continue;
        }
        if (is_reborn(one->first, zones))
            lose_results(one->second);
        one = m_targets.erase(one);
    }
    for (const auto& [id, zone] : zones)
    {
        stage_target& target = m_targets[id];
        target.start = id;
        target.zone = zone;
    }
}

} // namespace mangofold::decision
