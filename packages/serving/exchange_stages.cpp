#include "serving/exchange.hpp"

#include <algorithm>

namespace mangofold::serving
{

decision::urgency exchange::urgency() const
{
    return {m_account == nullptr ? 0 : m_account->priority, m_route->priority};
}

// A caller abandons a stream that stays silent, which may be long before the
// deadline. A stream that starts just before the deadline is cut off there and
// is of no use either, so the time to generate the answer is subtracted.
instant exchange::stages_deadline() const
{
    const auto known = m_context.times_by_route.find(m_route->name);
    // How much of a stream in progress is left to generate is unknown.
    const bool is_time_unknown =
        known == m_context.times_by_route.end() || is_stream_in_progress();
    const duration generation_time =
        is_time_unknown
            ? duration::zero()
            : known->second.time_per_token.mean() * max_output_tokens();
    const instant latest_end = m_deadline - generation_time;
    return m_progress ? std::min(latest_end, m_progress->next_event_by() -
                                                 answer_transit_time)
                      : latest_end;
}

// The engine that gets the request fetches the stage results. Its zone is
// mostly known in advance: engines that have the shared parts of the prompt
// cached are preferred.
std::string exchange::expected_engine_zone()
{
    if (!is_engine_service())
        return {};
    const auto* target = choose_target();
    return target == nullptr ? std::string() : target->zone;
}

// The caller of a request counts its latency from its first try. A returning
// request that counted as new would take the place of one that can still be in
// time. A caller who has part of a stream waits for the next event instead, so
// that neither the time which the earlier ones took nor that of failed rounds
// makes it late.
stage_terms
exchange::stage_terms_for(const entry_context::route_times& times) const
{
    stage_terms terms;
    terms.urgency = urgency();
    terms.account = m_account == nullptr ? std::string() : m_account->name;
    terms.continues_stream = is_stream_in_progress();
    terms.is_returning =
        m_waited_before > duration::zero() || terms.continues_stream;
    const instant waits_since = terms.continues_stream
                                    ? m_context.now()
                                    : m_started_at - m_waited_before;
    terms.due = waits_since + m_route->latency_objective -
                times.time_to_first_event.mean_plus(1);
    terms.expires =
        std::min(stages_deadline() - first_event_time(), latest_send_time());
    return terms;
}

awaitable<decision::job_status>
exchange::run_stages_once(bool accepts_rejection)
{
    release_stages();
    // The engine's time depends on the prompt and the answer, and so differs by
    // route.
    stage_terms terms =
        stage_terms_for(m_context.times_by_route[m_route->name]);
    terms.accepts_rejection = accepts_rejection;
    log_take_up_wait(terms);
    m_stages = std::make_unique<stage_runner>(m_context, *m_route, m_metadata,
                                              content_digest(),
                                              expected_engine_zone(), terms);
    const auto status = co_await m_stages->run();
    m_stages_done_at = m_context.now();
    m_are_stages_late = m_stages->is_late();
    m_stage_times = m_stages->completion_times(m_started_at);
    co_return status;
}

awaitable<bool> exchange::run_stages()
{
    // A stream in progress has further rounds instead.
    const int max_attempts = is_stream_in_progress() ? 1 : 2;
    auto status = decision::job_status::failed;
    for (int attempts = 0; attempts < max_attempts && !is_past_deadline();
         ++attempts)
    {
        // The caller may have left while the quarantine held the request.
        if (m_session->check_disconnected())
            co_return false;
        // Results of this request may exist already, and its caller has waited.
        const bool accepts_rejection = attempts == 0 && m_sends->sends() == 0;
        status = co_await run_stages_once(accepts_rejection);
        if (m_session->check_disconnected())
            co_return false;
        if (status == decision::job_status::completed)
            co_return true;
        if (status == decision::job_status::rejected)
        {
            m_retry_in = m_stages->retry_in();
            m_context.count("stages_ended", "how", "rejected");
            m_refusal = refusal::overloaded;
            co_return false;
        }
        // Stage results that were lost with the target that produced them are
        // produced again from the start.
        if (status == decision::job_status::expired)
            break;
        if (is_service_evacuated(true))
        {
            m_refusal = refusal::evacuated;
            co_return false;
        }
        const bool is_refused = co_await is_quarantined_before_stages();
        if (is_refused)
            co_return false;
    }
    const bool is_late = status == decision::job_status::expired;
    m_context.count("stages_ended", "how", is_late ? "late" : "failed");
    m_refusal = is_late ? refusal::stages_late : refusal::stages_failed;
    co_return false;
}

void exchange::release_stages()
{
    if (m_stages)
        m_stages->release();
    m_stages.reset();
}

} // namespace mangofold::serving
