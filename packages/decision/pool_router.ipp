#pragma once

#include "decision/pool_router.hpp"

#include <algorithm>

namespace mangofold::decision
{

template<selection_policy Selection>
void pool_router<Selection>::set_targets(
    const std::vector<target_location>& targets)
{
    std::map<std::string, target_view> updated;
    for (const target_location& location : targets)
    {
        const auto existing = m_targets.find(location.id);
        if (existing != m_targets.end())
            updated[location.id] = existing->second;
        updated[location.id].id = location.id;
        updated[location.id].zone = location.zone;
    }
    m_targets = std::move(updated);
}

template<selection_policy Selection>
std::optional<std::string> pool_router<Selection>::pick(
    work_class work, const std::vector<std::string>& avoided, instant now)
{
    candidates eligible = eligible_targets(avoided, now);
    // A target that already failed this request is better than none.
    if (eligible.empty() && !avoided.empty())
        eligible = eligible_targets({}, now);
    if (eligible.empty())
        return std::nullopt;
    const std::size_t index =
        m_selection.select(eligible, m_zone, work, m_random);
    const std::string id = eligible[index]->id;
    target_view& view = m_targets.at(id);
    if (view.consecutive_failures >= m_ejection.consecutive_failures)
        view.is_probing = true;
    return id;
}

template<selection_policy Selection>
typename pool_router<Selection>::candidates
pool_router<Selection>::eligible_targets(
    const std::vector<std::string>& avoided, instant now) const
{
    candidates eligible;
    candidates ejected;
    for (const auto& [id, view] : m_targets)
    {
        if (!view.is_linked || view.is_leaving)
            continue;
        if (std::find(avoided.begin(), avoided.end(), id) != avoided.end())
            continue;
        const bool is_ejected =
            view.consecutive_failures >= m_ejection.consecutive_failures &&
            (now < view.ejected_until || view.is_probing);
        (is_ejected ? ejected : eligible).push_back(&view);
    }
    // If most of the pool were ejected, the other targets would be overloaded
    // by the whole load and fail too, so all linked targets stay in rotation.
    const double share =
        static_cast<double>(ejected_count(now)) /
        static_cast<double>(std::max<std::size_t>(m_targets.size(), 1));
    if (eligible.empty() || share > m_ejection.max_ejected_share)
        eligible.insert(eligible.end(), ejected.begin(), ejected.end());
    return eligible;
}

template<selection_policy Selection>
duration pool_router<Selection>::expected_latency(work_class work,
                                                  instant now) const
{
    double shortest = 0;
    for (const target_view* candidate : eligible_targets({}, now))
    {
        const double ns = candidate->expected_latency_ns(work);
        shortest = shortest == 0 ? ns : std::min(shortest, ns);
    }
    return duration(static_cast<duration::rep>(shortest));
}

template<selection_policy Selection>
std::size_t pool_router<Selection>::ejected_count(instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(),
                      [&](const auto& item)
                      {
                          const target_view& view = item.second;
                          return view.consecutive_failures >=
                                     m_ejection.consecutive_failures &&
                                 now < view.ejected_until;
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
               view.load_report = load;
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
                   view.consecutive_failures = 0;
           });
}

template<selection_policy Selection>
void pool_router<Selection>::note_failure(target_view& view, instant now)
{
    ++view.consecutive_failures;
    if (view.consecutive_failures < m_ejection.consecutive_failures)
        return;
    const std::uint32_t steps = std::min<std::uint32_t>(
        view.consecutive_failures - m_ejection.consecutive_failures, 5);
    const duration wait = std::min<duration>(
        m_ejection.base_duration * (1U << steps), m_ejection.max_duration);
    const auto jitter = static_cast<std::uint64_t>(wait.count()) / 4 + 1;
    view.ejected_until = now + wait + duration(m_random.below(jitter));
}

} // namespace mangofold::decision
