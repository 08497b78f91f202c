#include "serving/exchange.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// How long a trial waits for a target where no other request in doubt is. Then
/// it goes beside one: that it is not alone there is known, too.
constexpr duration longest_wait_alone = std::chrono::seconds(1);

} // namespace

// Cold targets are open to this entry at moments that are its own only.
std::vector<const decision::listed_target*> exchange::open_targets()
{
    const auto& all = m_context.directory.serving(m_service);
    const decision::warm_up bears = m_context.warm_up_of(m_service);
    m_cold_until.reset();
    if (bears.time <= duration::zero() || !m_context.cold.has_any())
        return all;
    const instant now = m_context.now();
    const bool knows_entries = m_context.knows_entries();
    std::vector<const decision::listed_target*> open;
    for (const auto* one : all)
    {
        if (!m_context.cold.is_cold(one->start, now))
        {
            open.push_back(one);
            continue;
        }
        const instant next = m_context.cold.next_send(
            one->start, bears, m_context.entries_sharing(), now,
            m_context.random);
        if (next <= now && knows_entries)
            open.push_back(one);
        else if (!m_cold_until || next < *m_cold_until)
            m_cold_until = next;
    }
    return open;
}

const decision::listed_target*
exchange::choose_among(const std::set<decision::target_start>& tried)
{
    const auto candidates = open_targets();
    const instant now = m_context.now();
    if (is_engine())
        return m_context.engines.choose(candidates, tried, generation(),
                                        m_context.settings.zone, now);
    return m_context.standing.choose(candidates, tried, m_context.settings.zone,
                                     now, m_route->is_repeatable);
}

const decision::listed_target* exchange::choose_target()
{
    if (m_verdict.how == decision::quarantine::admission::open)
        return choose_among(m_tried);
    std::set<decision::target_start> left_out =
        m_context.quarantine.occupied(content());
    left_out.insert(m_tried.begin(), m_tried.end());
    if (m_is_trial && m_context.now() < m_alone_until)
    {
        std::vector<decision::target_start> targets;
        for (const auto* one : m_context.directory.serving(m_service))
            targets.push_back(one->start);
        const auto place =
            m_context.quarantine.place_in_trial(content(), m_context.now());
        left_out.merge(decision::kept_for_others(place, std::move(targets)));
        return choose_among(left_out);
    }
    const auto* apart = choose_among(left_out);
    return apart != nullptr ? apart : choose_among(m_tried);
}

awaitable<const decision::listed_target*> exchange::wait_for_choice()
{
    m_alone_until = m_context.now() + longest_wait_alone;
    const auto* target = choose_target();
    while (target == nullptr && !is_over() &&
           !m_session->check_disconnected() &&
           ((m_is_trial && m_context.now() < m_alone_until) ||
            may_wait_for_cold()))
    {
        co_await wait_a_moment();
        target = choose_target();
    }
    co_return target;
}

forwarding_metadata exchange::marks_for(const decision::listed_target& target)
{
    forwarding_metadata marks;
    marks.target_id = target.start.id;
    marks.budget = left();
    if (m_account != nullptr)
        marks.account = m_account->name;
    if (!m_route->stages.empty() && !m_facts.pieces.empty())
        marks.inputs =
            m_stages ? m_stages->results() : std::vector<std::string>();
    if (m_last_event)
        marks.last_event_id = std::to_string(*m_last_event);
    return marks;
}

// Whether the next moment of a cold target comes while an answer still helps.
bool exchange::may_wait_for_cold() const
{
    return m_cold_until && *m_cold_until < m_context.now() + left() / 2;
}

// No target of a service that the request still needs may get anything:
// whatever is done for it meanwhile is for nothing.
bool exchange::is_wholly_evacuated(bool needs_stages) const
{
    const decision::target_directory& targets = m_context.directory;
    if (targets.is_evacuated(m_service))
        return true;
    if (!needs_stages)
        return false;
    const std::size_t stages =
        std::min(m_facts.pieces.size(), m_route->stages.size());
    for (std::size_t one = 0; one < stages; ++one)
        if (m_facts.pieces[one] > 0 &&
            targets.is_evacuated(m_route->stages[one].service))
            return true;
    return false;
}

} // namespace mangofold::serving
