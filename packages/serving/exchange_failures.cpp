#include "serving/exchange.hpp"

#include <utility>

namespace mangofold::serving
{

exchange::attempt_outcome
exchange::handle_failed_attempt(target_call::outcome result,
                                const decision::target_incarnation& target)
{
    const instant now = m_context.now();
    m_call->abort();
    const bool is_unsent = result == target_call::outcome::not_sent;
    if (is_unsent)
    {
        m_sends->note_unsent();
        take_back_retry();
    }
    if (is_engine_service())
        report_generation(decision::generation_event::failed);
    else
        m_context.target_health.note_no_answer(target, now);
    const bool may_have_ended = result == target_call::outcome::not_sent ||
                                result == target_call::outcome::connection_lost;
    if (may_have_ended &&
        m_context.warm_up_of(m_service).period > duration::zero())
        m_context.cold_targets.note_lost(target, now);
    m_is_outcome_recorded = true;
    switch (result)
    {
    case target_call::outcome::not_sent:
        m_refusal = refusal::no_target;
        break;
    case target_call::outcome::timed_out:
        m_refusal = refusal::target_silent;
        break;
    case target_call::outcome::invalid_answer:
        m_refusal = refusal::answer_spoiled;
        break;
    default:
        m_refusal = refusal::target_lost;
        record_crash(target);
    }
    m_context.count("attempts_failed", "why", to_string(m_refusal));
    if (!is_unsent)
        log_lost_attempt(target);
    return attempt_outcome::retry;
}

void exchange::take_back_retry()
{
    if (std::exchange(m_is_retry_spent, false))
        m_context.retry_budget_for(m_service).take_back();
}

exchange::attempt_outcome exchange::handle_not_run(const target_call& call)
{
    const instant now = m_context.now();
    const decision::target_incarnation& target = call.target().incarnation;
    // 409: the target could not fetch an input because the target that produced
    // it is gone. The stages must run again, and this target is sound.
    constexpr unsigned conflict = 409;
    m_sends->note_not_run();
    m_refusing_targets.insert(target);
    const unsigned status = call.head().result_int();
    m_context.count("attempts_refused", "status", std::to_string(status));
    if (is_engine_service())
        report_generation(status == conflict
                              ? decision::generation_event::ended
                              : decision::generation_event::refused);
    else
        m_context.target_health.note_refused(target, now);
    m_refusal = refusal::targets_full;
    return status == conflict ? attempt_outcome::redo_stages
                              : attempt_outcome::retry;
}

} // namespace mangofold::serving
