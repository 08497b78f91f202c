#include "decision/suspects/request_suspects.hpp"
#include "decision/suspects/run_survival.hpp"
#include "runtime/event.hpp"
#include "serving/exchange.hpp"
#include "serving/given_up_runs.hpp"
#include "serving/target_losses.hpp"

namespace mangofold::serving
{

namespace
{

using admission = decision::quarantine::admission;

/// How long a target works on at most for an answer that was given up, while
/// its request may run at another one already.
constexpr duration given_up_watch_time = std::chrono::milliseconds(300);

} // namespace

// Computed on demand: most requests are never suspected of anything.
const decision::request_suspects& exchange::suspects() const
{
    if (m_suspects)
        return *m_suspects;
    const std::string_view account =
        m_account == nullptr ? std::string_view() : m_account->name;
    std::vector<std::string> ids;
    for (const prompt_segment& part : m_metadata.prompt)
        ids.push_back(part.id);
    m_suspects = {content_digest(),
                  decision::shared_part_digests(m_service, account, ids),
                  decision::name_set::of(account)};
    return *m_suspects;
}

std::string exchange::suspected_part() const
{
    if (m_verdict.is_part)
        for (const prompt_segment& part : m_metadata.prompt)
            if (decision::prompt_part_digest(m_service, part.id) ==
                m_verdict.suspect)
                return part.id;
    return {};
}

decision::name_set exchange::serving_versions() const
{
    decision::name_set versions;
    for (const auto* target : serving_targets())
        versions = versions.joined(decision::name_set::of(target->version));
    return versions;
}

// A request that crashes each target that starts it is recognized by its
// content, because callers resend it under new ids and to other entries.
// Forwarded each time like a new request, it took down nearly all targets of a
// service within seconds, together with all requests in progress there. So did
// different requests that had one part of their prompts in common.
awaitable<bool> exchange::is_quarantined()
{
    if (m_context.quarantine.crashes().is_empty())
        co_return false;
    update_quarantine_verdict();
    while (m_verdict.outcome == admission::held && !is_past_deadline() &&
           !m_session->check_disconnected())
    {
        co_await wait_poll_interval();
        update_quarantine_verdict();
    }
    co_return is_refused_or_held();
}

awaitable<bool> exchange::is_quarantined_before_stages()
{
    if (m_context.quarantine.crashes().is_empty())
        co_return false;
    const bool is_part_in_doubt =
        m_verdict.outcome == admission::unrestricted &&
        quarantine_verdict().is_part &&
        quarantine_verdict().outcome != admission::refused;
    if (is_part_in_doubt)
        co_return false;
    co_return co_await is_quarantined();
}

bool exchange::is_refused_or_held()
{
    if (m_verdict.outcome != admission::refused &&
        m_verdict.outcome != admission::held)
        return false;
    // A request that ran out of time while another request's trial was in
    // progress is not refused for its content and may be retried at once.
    m_refusal = m_verdict.outcome == admission::held ? refusal::too_late
                : m_verdict.is_part                  ? refusal::part_quarantined
                                                     : refusal::quarantined;
    return true;
}

bool exchange::is_still_admitted()
{
    if (m_is_trial || m_context.quarantine.crashes().is_empty())
        return true;
    const admission outcome = quarantine_verdict().outcome;
    return outcome == admission::unrestricted || outcome == m_verdict.outcome;
}

decision::quarantine::verdict exchange::quarantine_verdict()
{
    return m_context.quarantine.evaluate(
        suspects(), m_context.now(),
        [this] { return m_context.ordinal_for(to_text(content_digest())); },
        [this] { return serving_versions(); });
}

// A trial keeps its verdict for its stages and its attempt until another crash
// is recorded against its content, or the part that it tries.
void exchange::update_quarantine_verdict()
{
    decision::quarantine& known = m_context.quarantine;
    if (m_is_trial &&
        known.crashes().evidence_against(m_verdict.suspect).incident_count() ==
            m_verdict.incidents)
        return;
    const instant now = m_context.now();
    m_verdict = quarantine_verdict();
    m_is_trial = m_verdict.outcome == admission::trial;
    if (m_verdict.outcome == admission::held)
        known.note_waiting(m_verdict.suspect, now, m_verdict.is_part);
    if (!m_is_trial)
        return;
    known.note_trial(m_verdict.suspect, now);
    runtime::event(m_verdict.is_part ? "part_tried" : "content_tried")
        .with("content", to_text(m_verdict.suspect))
        .with("part", suspected_part())
        .with("request", m_metadata.id)
        .with("ends", m_verdict.incidents)
        .warn();
}

void exchange::record_crash(const decision::target_incarnation& target)
{
    record_run_crash(m_context, newest_run(target), has_survived());
}

target_run
exchange::newest_run(const decision::target_incarnation& target) const
{
    return {m_metadata.id, suspects(), target, m_target_version, m_sent_at};
}

// Closing the connection here would hide a crash that follows, and a part whose
// targets crash after such a head would never be suspected. A trial awaits the
// outcome; otherwise its next attempt would crash another target.
awaitable<void> exchange::give_up_answer(target_call& call)
{
    m_refusal = refusal::answer_spoiled;
    call.give_up();
    std::shared_ptr<target_call> given_up = call.shared_from_this();
    target_run run = newest_run(call.target().incarnation);
    if (m_is_trial)
        co_await watch_given_up_run(m_context, given_up, run,
                                    given_up_watch_time);
    else
        spawn(m_context.loop, watch_given_up_run(m_context, given_up, run,
                                                 given_up_watch_time));
}

bool exchange::has_survived() const
{
    const instant now = m_context.now();
    const auto first_event_at =
        m_is_prompt_read ? std::optional(m_first_event_at) : std::nullopt;
    return decision::has_survived(first_event_at, now,
                                  m_context.loop_lag.lag(now));
}

void exchange::record_survival()
{
    if (m_is_survival_recorded || m_context.quarantine.crashes().is_empty())
        return;
    m_is_survival_recorded = true;
    record_parts_survived(m_context, suspects().parts,
                          m_is_prompt_read ? m_first_event_at : m_sent_at);
}

} // namespace mangofold::serving
