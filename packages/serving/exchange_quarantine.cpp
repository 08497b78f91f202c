#include "runtime/event.hpp"
#include "serving/exchange.hpp"

namespace mangofold::serving
{

// A request that ends each target that begins it is known by its content: its
// callers send it again and again, under new ids and to other entries. Sent on
// as if it had never come, it took down nearly all targets of a service within
// seconds, with all that ran there.
awaitable<bool> exchange::is_quarantined()
{
    using admission = decision::quarantine::admission;
    if (m_context.quarantine.ends().is_empty())
        co_return false;
    judge_content();
    while (m_verdict.how == admission::held && !is_over() &&
           !m_session->check_disconnected())
    {
        co_await wait_a_moment();
        judge_content();
    }
    if (m_verdict.how != admission::refused && m_verdict.how != admission::held)
        co_return false;
    // One that waited for another's trial is late, and may come back at once.
    m_refusal = m_verdict.how == admission::held ? refusal::too_late
                                                 : refusal::quarantined;
    co_return true;
}

// A trial goes on, with its stages and its send, until it has shown anything.
void exchange::judge_content()
{
    decision::quarantine& known = m_context.quarantine;
    if (m_is_trial && known.ends().against(content()).ends() == m_verdict.ends)
        return;
    const instant now = m_context.now();
    m_verdict =
        known.judge(content(), now,
                    [this] { return m_context.seat_for(to_text(content())); });
    m_is_trial = m_verdict.how == decision::quarantine::admission::trial;
    if (m_verdict.how == decision::quarantine::admission::held)
        known.note_waiting(content(), now);
    if (!m_is_trial)
        return;
    known.note_tried(content(), now);
    runtime::event("content_tried")
        .with("content", to_text(content()))
        .with("request", m_facts.id)
        .with("ends", m_verdict.ends)
        .warn();
}

} // namespace mangofold::serving
