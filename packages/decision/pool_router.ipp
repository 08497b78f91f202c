#pragma once

#include "decision/pool_router.hpp"

#include <algorithm>

namespace mangofold::decision
{

template<selection_policy Selection>
void pool_router<Selection>::set_targets(
    const std::vector<target_place>& targets)
{
    std::map<std::string, target_view> kept;
    for (const target_place& place : targets)
    {
        const auto known = m_targets.find(place.id);
        if (known != m_targets.end())
            kept[place.id] = known->second;
        kept[place.id].id = place.id;
        kept[place.id].zone = place.zone;
    }
    m_targets = std::move(kept);
}

template<selection_policy Selection>
std::optional<std::string>
pool_router<Selection>::pick(work_class work,
                             const std::vector<std::string>& avoid, instant now)
{
    candidates choice = usable(avoid, now);
    // Rather a target that already failed this request than none.
    if (choice.empty() && !avoid.empty())
        choice = usable({}, now);
    if (choice.empty())
        return std::nullopt;
    const std::size_t index =
        m_selection.select(choice, m_zone, work, m_random);
    const std::string id = choice[index]->id;
    target_view& view = m_targets.at(id);
    if (view.failures >= m_aside.failures)
        view.is_probing = true;
    return id;
}

template<selection_policy Selection>
typename pool_router<Selection>::candidates
pool_router<Selection>::usable(const std::vector<std::string>& avoid,
                               instant now) const
{
    candidates good;
    candidates set_aside;
    for (const auto& [id, view] : m_targets)
    {
        if (!view.is_linked || view.is_leaving)
            continue;
        if (std::find(avoid.begin(), avoid.end(), id) != avoid.end())
            continue;
        const bool is_aside = view.failures >= m_aside.failures &&
                              (now < view.aside_until || view.is_probing);
        (is_aside ? set_aside : good).push_back(&view);
    }
    // With most of the pool aside, the rest would drown under the whole
    // load and fail as well; then every linked target takes its share.
    const double share =
        static_cast<double>(aside_count(now)) /
        static_cast<double>(std::max<std::size_t>(m_targets.size(), 1));
    if (good.empty() || share > m_aside.largest_share)
        good.insert(good.end(), set_aside.begin(), set_aside.end());
    return good;
}

template<selection_policy Selection>
duration pool_router<Selection>::expected(work_class work, instant now) const
{
    double shortest = 0;
    for (const target_view* one : usable({}, now))
    {
        const double ns = one->expected_ns(work);
        shortest = shortest == 0 ? ns : std::min(shortest, ns);
    }
    return duration(static_cast<duration::rep>(shortest));
}

template<selection_policy Selection>
std::size_t pool_router<Selection>::aside_count(instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_targets.begin(), m_targets.end(),
        [&](const auto& one)
        {
            const target_view& view = one.second;
            return view.failures >= m_aside.failures && now < view.aside_until;
        }));
}

template<selection_policy Selection>
void pool_router<Selection>::link_opened(const std::string& target, instant now)
{
    change(target,
           [&](target_view& view)
           {
               view.is_linked = true;
               view.is_leaving = false;
               view.linked_at = now;
           });
}

template<selection_policy Selection>
void pool_router<Selection>::link_closed(const std::string& target)
{
    change(target, [](target_view& view) { view.is_linked = false; });
}

template<selection_policy Selection>
void pool_router<Selection>::target_left(const std::string& target)
{
    change(target, [](target_view& view) { view.is_leaving = true; });
}

template<selection_policy Selection>
void pool_router<Selection>::load_reported(const std::string& target,
                                           const target_load& load)
{
    change(target,
           [&](target_view& view)
           {
               view.report = load;
               view.in_flight_at_report = view.in_flight;
           });
}

template<selection_policy Selection>
void pool_router<Selection>::attempt_sent(const std::string& target,
                                          work_class priority)
{
    change(target, [&](target_view& view)
           { ++view.in_flight.at(static_cast<std::size_t>(priority)); });
}

template<selection_policy Selection>
void pool_router<Selection>::attempt_ended(const std::string& target,
                                           work_class priority,
                                           const stage_result& result,
                                           instant now)
{
    change(target,
           [&](target_view& view)
           {
               std::uint32_t& count =
                   view.in_flight.at(static_cast<std::size_t>(priority));
               count -= count > 0 ? 1 : 0;
               view.is_probing = false;
               if (result.cause == reason::target_leaving)
                   view.is_leaving = true;
               const bool has_failed = result.status == stage_status::failed ||
                                       result.status == stage_status::unknown ||
                                       result.cause == reason::target_down;
               if (has_failed)
                   note_failure(view, now);
               else if (result.status == stage_status::done)
                   view.failures = 0;
           });
}

template<selection_policy Selection>
void pool_router<Selection>::note_failure(target_view& view, instant now)
{
    ++view.failures;
    if (view.failures < m_aside.failures)
        return;
    const std::uint32_t steps =
        std::min<std::uint32_t>(view.failures - m_aside.failures, 5);
    const duration wait =
        std::min<duration>(m_aside.first * (1U << steps), m_aside.longest);
    const auto jitter = static_cast<std::uint64_t>(wait.count()) / 4 + 1;
    view.aside_until = now + wait + duration(m_random.below(jitter));
}

} // namespace mangofold::decision
