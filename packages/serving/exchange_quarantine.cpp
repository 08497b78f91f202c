#include "runtime/event.hpp"
#include "serving/exchange.hpp"

namespace mangofold::serving
{

// A request that crashes each target that starts it is recognized by its
// content, because callers resend it under new ids and to other entries.
// Forwarded each time like a new request, it took down nearly all targets of a
// service within seconds, together with all requests in progress there.
awaitable<bool> exchange::is_quarantined()
{
    using admission = decision::quarantine::admission;
    if (m_context.quarantine.crashes().is_empty())
        co_return false;
    update_quarantine_verdict();
    while (m_verdict.outcome == admission::held && !is_past_deadline() &&
           !m_session->check_disconnected())
    {
        co_await wait_poll_interval();
        update_quarantine_verdict();
    }
    if (m_verdict.outcome != admission::refused &&
        m_verdict.outcome != admission::held)
        co_return false;
    // A request that ran out of time while another request's trial was in
    // progress is not refused for its content and may be retried at once.
    m_refusal = m_verdict.outcome == admission::held ? refusal::too_late
                                                     : refusal::quarantined;
    co_return true;
}

// A trial keeps its verdict for its stages and its attempt until another crash
// is recorded against its content.
void exchange::update_quarantine_verdict()
{
    decision::quarantine& known = m_context.quarantine;
    if (m_is_trial &&
        known.crashes().evidence_against(content_digest()).incident_count() ==
            m_verdict.incidents)
        return;
    const instant now = m_context.now();
    m_verdict = known.evaluate(
        content_digest(), now,
        [this] { return m_context.ordinal_for(to_text(content_digest())); });
    m_is_trial = m_verdict.outcome == decision::quarantine::admission::trial;
    if (m_verdict.outcome == decision::quarantine::admission::held)
        known.note_waiting(content_digest(), now);
    if (!m_is_trial)
        return;
    known.note_trial(content_digest(), now);
    runtime::event("content_tried")
        .with("content", to_text(content_digest()))
        .with("request", m_metadata.id)
        .with("ends", m_verdict.incidents)
        .warn();
}

} // namespace mangofold::serving
