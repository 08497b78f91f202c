#include "decision/admission/urgency.hpp"
#include "serving/exchange.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// How long a trial waits for a target that runs no other quarantined content.
/// After that it may share a target with such content; the quarantine knows
/// that both were in progress there.
constexpr duration max_exclusive_wait = std::chrono::seconds(1);

} // namespace

// Each cold target takes requests of this entry only in time slots that no
// other entry uses.
instant exchange::next_send_while_cold(const decision::listed_target& target,
                                       instant now)
{
    const decision::warm_up service_warm_up = m_context.warm_up_of(m_service);
    if (service_warm_up.period <= duration::zero() ||
        !m_context.cold_targets.is_cold(target.incarnation, now))
        return now;
    const instant next = m_context.cold_targets.next_send(
        target.incarnation, service_warm_up, m_context.fleet_size(), now,
        m_context.random);
    return m_context.is_fleet_size_known() ? next
                                           : std::max(next, now + duration(1));
}

exchange::send_time exchange::next_send(const decision::listed_target& target,
                                        instant now)
{
    const decision::target_incarnation& id = target.incarnation;
    send_time next{next_send_while_cold(target, now), refusal::targets_cold};
    const instant limited_until = m_context.request_limits.next_send(
        id, decision::request_limits::senders::all_entries, now);
    if (limited_until > next.at)
        next = {limited_until, refusal::targets_limited};
    const instant rests_until = m_context.resting_targets.rests_until(id, now);
    if (rests_until > next.at)
        next = {rests_until, refusal::targets_resting};
    return next;
}

std::vector<const decision::listed_target*> exchange::available_targets()
{
    auto all = serving_targets();
    m_cold_retry_at.reset();
    m_next_send.reset();
    if (!m_context.has_restricted_targets())
        return all;
    const instant now = m_context.now();
    std::vector<const decision::listed_target*> open;
    for (const auto* target : all)
    {
        const send_time next = next_send(*target, now);
        if (next.at <= now)
        {
            open.push_back(target);
            continue;
        }
        if (!m_next_send || next.at < m_next_send->at)
            m_next_send = next;
        if (next.reason == refusal::targets_cold)
            m_cold_retry_at =
                std::min(next.at, m_cold_retry_at.value_or(instant::max()));
    }
    return open;
}

// Stages that run for a request without a target would be wasted.
bool exchange::are_targets_unavailable()
{
    return m_context.has_restricted_targets() && available_targets().empty() &&
           m_next_send && m_next_send->at > m_deadline;
}

const decision::listed_target* exchange::choose_target_except(
    const std::set<decision::target_incarnation>& excluded)
{
    const auto candidates = available_targets();
    const instant now = m_context.now();
    if (is_engine_service())
        return m_context.engines.choose(candidates, excluded,
                                        make_generation_request(),
                                        m_context.settings.zone, now);
    return m_context.target_health.choose(candidates, excluded,
                                          m_context.settings.zone, now,
                                          m_route->is_repeatable);
}

const decision::listed_target* exchange::choose_target()
{
    if (m_verdict.outcome == decision::quarantine::admission::unrestricted)
        return choose_target_except(m_tried_targets);
    std::set<decision::target_incarnation> excluded =
        m_context.quarantine.targets_of_others(m_verdict.suspect);
    excluded.insert(m_tried_targets.begin(), m_tried_targets.end());
    if (!m_verdict.excluded_versions.is_empty())
        for (const auto* target : m_context.directory.serving(m_service))
            if (m_verdict.excluded_versions.contains(
                    decision::name_set::of(target->version)))
                excluded.insert(target->incarnation);
    if (m_is_trial && m_context.now() < m_exclusive_until)
    {
        std::vector<decision::target_incarnation> targets;
        for (const auto* target : m_context.directory.serving(m_service))
            targets.push_back(target->incarnation);
        const auto own_ordinal = m_context.quarantine.trial_ordinal(
            m_verdict.suspect, m_context.now());
        excluded.merge(decision::targets_reserved_for_others(
            own_ordinal, std::move(targets)));
        return choose_target_except(excluded);
    }
    const auto* unoccupied = choose_target_except(excluded);
    return unoccupied != nullptr || !m_verdict.excluded_versions.is_empty()
               ? unoccupied
               : choose_target_except(m_tried_targets);
}

awaitable<const decision::listed_target*> exchange::wait_for_target_choice()
{
    m_exclusive_until = m_context.now() + max_exclusive_wait;
    const auto* target = choose_target();
    while (target == nullptr && !is_past_deadline() &&
           !m_session->check_disconnected() &&
           ((m_is_trial && m_context.now() < m_exclusive_until) ||
            may_wait_for_cold_target()))
    {
        co_await wait_poll_interval();
        target = choose_target();
    }
    co_return target;
}

void exchange::note_no_target()
{
    const bool is_full = m_refusal == refusal::targets_full;
    if (m_next_send && (is_full || m_refusal == refusal::none))
        m_refusal = m_next_send->reason;
    else if (m_refusal == refusal::none)
        m_refusal = refusal::no_target;
}

forwarding_metadata exchange::forwarding_metadata_for()
{
    forwarding_metadata metadata;
    metadata.budget = remaining_time();
    if (m_account != nullptr)
        metadata.account = m_account->name;
    if (!m_route->stages.empty() && !m_metadata.pieces.empty())
        metadata.inputs =
            m_stages ? m_stages->results() : std::vector<std::string>();
    // Without the header, engines assume a priority for all alike.
    if (is_engine_service() && m_catalog->has_ranks(m_service))
        metadata.priority = decision::engine_priority(urgency());
    if (m_last_event_id)
        metadata.last_event_id = std::to_string(*m_last_event_id);
    return metadata;
}

// Waits only if the next time slot of a cold target leaves at least half of the
// remaining time for the answer.
bool exchange::may_wait_for_cold_target() const
{
    return m_cold_retry_at &&
           *m_cold_retry_at < m_context.now() + remaining_time() / 2;
}

// If all targets of a service that the request still needs are evacuated, any
// work done for the request would be wasted.
bool exchange::is_service_evacuated(bool needs_stages) const
{
    const decision::target_directory& targets = m_context.directory;
    if (targets.is_evacuated(m_service))
        return true;
    if (!needs_stages)
        return false;
    const std::size_t stages =
        std::min(m_metadata.pieces.size(), m_route->stages.size());
    for (std::size_t stage = 0; stage < stages; ++stage)
        if (m_metadata.pieces[stage] > 0 &&
            targets.is_evacuated(m_route->stages[stage].service))
            return true;
    return false;
}

} // namespace mangofold::serving
