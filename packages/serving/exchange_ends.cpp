#include "runtime/event.hpp"
#include "serving/exchange.hpp"

#include <algorithm>

namespace mangofold::serving
{

// The end of this process may come before the head of the request is judged.
runtime::event exchange::last_line(std::string_view event)
{
    m_has_last_line = true;
    if (m_metadata.id.empty())
        try
        {
            m_metadata.id = m_context.protocol.parse_request(m_request).id;
        }
        catch (const invalid_message&)
        {
        }
    runtime::event line(event);
    line.with("request", m_metadata.id);
    return line;
}

awaitable<void> exchange::finish()
{
    count_take_up();
    const bool is_answered = m_refusal == refusal::none && m_answer_status != 0;
    if (m_session->has_disconnected())
    {
        log_left();
        m_session->close_after_response();
    }
    else if (is_answered)
        log_answer();
    else
        co_await send_refusal();
}

void exchange::note_exit()
{
    if (m_has_last_line)
        return;
    if (m_session->has_disconnected())
        log_left();
    else
        log_cut_answer();
    count_take_up();
}

// An exception skips what ends an attempt, and its place would stay taken.
void exchange::note_failure(std::string_view fault)
{
    release_stages();
    if (m_call)
    {
        if (!is_engine_service() && !m_is_outcome_recorded)
            m_context.target_health.note_abandoned(m_last_target);
        record_attempt_end(m_last_target);
        m_call->abort();
        m_call.reset();
    }
    if (!m_has_last_line)
        last_line("request_failed")
            .with("route", m_route == nullptr ? "" : m_route->name)
            .with("fault", fault)
            .with("sends", m_sends ? m_sends->sends() : 0)
            .error();
}

void exchange::log_left()
{
    m_context.count("requests_left", "kind", "caller");
    last_line("request_left")
        .with("route", m_route == nullptr ? "" : m_route->name)
        .with("waited_ms", whole_milliseconds(m_context.now() - m_started_at))
        .with("sends", m_sends ? m_sends->sends() : 0)
        .with("has_events", m_last_event_id ? 1 : 0)
        .info();
}

void exchange::log_answer()
{
    m_context.count("answers_ended", "by", to_string(m_answer_framing));
    const auto ms_to = [this](instant then)
    {
        return static_cast<std::uint64_t>(
            std::max<std::int64_t>(0, (then - m_started_at).count() / 1000000));
    };
    last_line("request_answered")
        .with("status", m_answer_status)
        .with("route", m_route->name)
        .with("target", m_last_target.id)
        .with("sends", m_sends->sends())
        .with("stages_ms", ms_to(m_stages_done_at))
        .with("sent_ms", ms_to(m_sent_at))
        .with("first_ms", ms_to(m_first_byte_at))
        .with("end_ms", ms_to(m_context.now()))
        .with("tokens", m_metadata.max_output_tokens)
        .with("stages_done", m_stage_times)
        .with("begun_late", m_are_stages_late ? 1 : 0)
        .with("ended_by", to_string(m_answer_framing))
        .with("catalog", m_catalog->version())
        .info();
}

void exchange::log_cut_answer()
{
    const instant stop = m_context.drain->started_at();
    last_line("answer_cut")
        .with("route", m_route == nullptr ? "" : m_route->name)
        .with("target", m_last_target.id)
        .with("taken", m_started_at < stop ? "before_stop" : "while_stopping")
        .with("age_ms", whole_milliseconds(m_context.now() - m_started_at))
        .with("sends", m_sends ? m_sends->sends() : 0)
        .with("has_events", m_last_event_id ? 1 : 0)
        .warn();
}

void exchange::log_refusal(unsigned status)
{
    runtime::event line = last_line("request_refused");
    line.with("why", to_string(m_refusal))
        .with("status", status)
        .with("route", m_route == nullptr ? "" : m_route->name)
        .with("target", m_last_target.id)
        .with("sends", m_sends ? m_sends->sends() : 0)
        .with("left_ms", static_cast<std::uint64_t>(std::max<std::int64_t>(
                             0, remaining_time().count() / 1000000)))
        .with("catalog", m_catalog ? m_catalog->version() : 0);
    if (!m_metadata.resumed_request.empty())
        line.with("resumes", m_metadata.resumed_request);
    if (m_origin)
        line.with("version", m_origin->version);
    if (m_stream_bound != decision::stream_bound::none)
        line.with("bound", to_string(m_stream_bound));
    if (m_refusal == refusal::quarantined ||
        m_refusal == refusal::part_quarantined)
        line.with("content", to_text(m_verdict.suspect))
            .with("part", suspected_part())
            .with("ends", m_verdict.incidents);
    line.info();
}

} // namespace mangofold::serving
