#include "serving/engine_scheduler.hpp"
#include "serving/exchange.hpp"

#include <algorithm>

namespace mangofold::serving
{

decision::generation_request exchange::make_generation_request() const
{
    decision::generation_request result;
    result.service = m_service;
    for (const prompt_segment& part : m_metadata.prompt)
        result.prompt.push_back({part.id, part.tokens});
    if (m_stages)
        result.inputs = m_stages->result_bytes_by_zone();
    result.max_output_tokens = max_output_tokens();
    result.limits = m_context.engine_limits_of(m_service);
    return result;
}

// Engines that this entry could not reach lately are excluded, too: the
// scheduler may be able to reach them.
placement_request exchange::make_placement_request()
{
    placement_request request;
    request.number = m_generation.number;
    request.work = make_generation_request();
    request.zone = m_context.settings.zone;
    request.urgency = urgency();
    if (m_origin)
        request.version = m_origin->version;
    for (const auto* target : serving_targets())
        if (find_usable(target->incarnation) == nullptr ||
            m_context.engines.is_backed_off(target->incarnation,
                                            m_context.now()))
            request.excluded.insert(target->incarnation.id);
    return request;
}

const decision::listed_target*
exchange::find_usable(const decision::target_incarnation& target)
{
    const auto* listed = m_context.directory.find(target);
    const instant now = m_context.now();
    const bool may_be_sent =
        listed != nullptr && listed->service == m_service &&
        fits_stream(*listed) && !m_tried_targets.contains(target) &&
        (!m_context.has_restricted_targets() ||
         next_send(*listed, now).at <= now);
    return may_be_sent ? listed : nullptr;
}

// Quarantined content goes to targets that this entry alone determines.
awaitable<const decision::listed_target*>
exchange::place_generation(const decision::listed_target* own_choice)
{
    m_generation = m_context.generations.next_own_key();
    m_placed_at.reset();
    m_scheduler.clear();
    if (m_context.scheduler != nullptr)
        m_scheduler =
            m_context.scheduler->scheduler_for(make_generation_request());
    if (m_scheduler.empty() ||
        m_verdict.outcome != decision::quarantine::admission::unrestricted)
    {
        m_context.count("placements", "how", "own");
        co_return own_choice;
    }
    const auto answer = co_await m_context.scheduler->ask(
        m_scheduler, make_placement_request());
    m_placed_at = answer.target;
    if (m_session->check_disconnected() || is_past_deadline())
    {
        m_refusal = refusal::too_late;
        cancel_placement();
        co_return nullptr;
    }
    const decision::listed_target* target =
        answer.target ? find_usable(*answer.target) : nullptr;
    const bool is_followed = target != nullptr;
    m_context.count("placements", "how",
                    is_followed         ? "scheduled"
                    : answer.is_timeout ? "timeout"
                                        : "own");
    // The list of targets may have changed during the wait.
    if (!is_followed)
        target = choose_target();
    if (target == nullptr)
        cancel_placement();
    co_return target;
}

void exchange::cancel_placement()
{
    m_context.scheduler->report_event(m_scheduler, m_generation.number,
                                      decision::generation_event::ended,
                                      duration::zero());
}

void exchange::start_generation(const decision::target_incarnation& target)
{
    m_context.generations.add(m_generation, target, make_generation_request(),
                              m_context.now());
    if (m_scheduler.empty() || m_placed_at == target)
        return;
    placement_request request = make_placement_request();
    request.excluded.clear();
    request.chosen = target;
    m_context.scheduler->report_choice(m_scheduler, request);
}

// Events after the end of a generation, and of requests to other services, are
// of no generation in the record and have no effect.
void exchange::report_generation(decision::generation_event event)
{
    if (!m_context.generations.contains(m_generation))
        return;
    const instant now = m_context.now();
    m_context.generations.note_event(m_generation, event, now - m_sent_at, now);
    if (!m_scheduler.empty())
        m_context.scheduler->report_event(m_scheduler, m_generation.number,
                                          event, now - m_sent_at);
}

} // namespace mangofold::serving
