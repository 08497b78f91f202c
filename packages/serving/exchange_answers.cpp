#include "serving/exchange.hpp"

#include "runtime/event.hpp"
#include "serving/event_stream.hpp"
#include "serving/target_losses.hpp"

#include <algorithm>
#include <charconv>

namespace mangofold::serving
{

namespace
{

/// How long a request that another target may answer waits for the word of its
/// target.
constexpr duration max_end_check_time = std::chrono::seconds(1);

std::string chunk_head(std::size_t bytes)
{
    constexpr int hexadecimal = 16;
    char size[2 * sizeof(std::size_t)];
    const auto end =
        std::to_chars(size, size + sizeof size, bytes, hexadecimal);
    return std::string(size, end.ptr) + "\r\n";
}

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

void exchange::open_witness(const target_call& call)
{
    const auto* service = m_catalog->find_service(m_service);
    m_witness = std::make_shared<answer_witness>(
        m_context, call.target(),
        service == nullptr ? std::string("/") : service->status_path);
    m_witness->open();
}

void exchange::note_framing(const target_call& call)
{
    m_context.unframed_services.note_answer(m_service, m_answer_framing,
                                            m_context.now());
    if (!call.ends_with_connection())
        m_witness.reset();
    else if (m_witness)
        m_witness->note_head(m_sent_at);
    else
        open_witness(call);
}

awaitable<exchange::attempt_outcome> exchange::relay_answer(target_call& call)
{
    const unsigned status = call.head().result_int();
    m_answer_status = status;
    m_answer_framing = call.framing();
    const bool is_valid =
        call.metadata().is_signed && call.metadata().is_unencoded;
    if (is_success(status) && !is_valid)
    {
        co_await give_up_answer(call);
        co_return attempt_outcome::retry;
    }
    note_framing(call);
    if (m_route->is_stream && is_success(status))
        co_return co_await relay_event_stream(call);
    co_return co_await relay_buffered_answer(call);
}

awaitable<exchange::attempt_outcome>
exchange::relay_buffered_answer(target_call& call)
{
    while (!call.is_complete())
    {
        const auto result = co_await read_more(call);
        if (m_session->has_disconnected())
        {
            call.abort();
            co_return attempt_outcome::given_up;
        }
        if (result != target_call::outcome::ok)
            co_return handle_failed_attempt(result, call.target().incarnation);
    }
    const auto end = co_await check_end(call);
    if (m_session->has_disconnected())
        co_return attempt_outcome::given_up;
    if (end != target_call::outcome::ok)
        co_return handle_failed_attempt(end, call.target().incarnation);
    const unsigned status = call.head().result_int();
    // A server error is retried on another target where that is allowed: most
    // such errors are limited to one target or one moment.
    const bool should_retry = status >= 500 && m_sends->may_send() &&
                              !m_is_head_sent && !is_past_deadline() &&
                              m_context.retry_budget_for(m_service).has_retry();
    if (should_retry)
    {
        m_refusal = refusal::target_lost;
        co_return attempt_outcome::retry;
    }
    m_refusal = refusal::none;
    if (m_is_head_sent)
    {
        // The target on which a partly sent stream was to resume returned an
        // error.
        m_refusal = refusal::target_lost;
        co_return attempt_outcome::retry;
    }
    m_context.count("requests_answered", "status", std::to_string(status));
    if (is_success(status))
    {
        record_content_served(m_context, content_digest());
        record_survival();
        auto& times = m_context.times_by_route[m_route->name];
        times.time_to_first_event.add(m_context.now() - m_sent_at);
        times.answer_time.add(m_context.now() - m_sent_at);
    }
    m_first_byte_at = m_context.now();
    // A caller that reads slowly holds the memory of the body until it is sent.
    co_await m_session->send_response(
        status, m_context.protocol.returned_fields(call.head()), call.body());
    co_return attempt_outcome::answered;
}

awaitable<target_call::outcome> exchange::read_more(target_call& call)
{
    const instant began = m_context.now();
    const auto result = co_await call.read_more(remaining_time());
    if (m_witness)
        m_witness->note_read(began);
    co_return result;
}

// Nothing but the connection marks the end of such an answer, and the system
// closes the connections of a killed process in order, too.
awaitable<target_call::outcome> exchange::check_end(const target_call& call)
{
    if (!call.ends_with_connection())
        co_return target_call::outcome::ok;
    const instant ended_at = m_context.now();
    const duration time = m_sends->may_send()
                              ? std::min(remaining_time(), max_end_check_time)
                              : remaining_time();
    const decision::answer_end end = co_await m_witness->judge_end(time);
    m_context.count("answer_ends_checked", "end", to_string(end));
    if (end == decision::answer_end::whole)
        co_return target_call::outcome::ok;
    runtime::event("answer_end_unconfirmed")
        .with("request", m_metadata.id)
        .with("target", call.target().incarnation.id)
        .with("end", to_string(end))
        .with("asked_ms", whole_milliseconds(m_context.now() - ended_at))
        .warn();
    co_return end == decision::answer_end::unknown
        ? target_call::outcome::timed_out
        : target_call::outcome::connection_lost;
}

exchange::attempt_outcome
exchange::handle_broken_stream(target_call::outcome result,
                               const decision::target_incarnation& target)
{
    const auto outcome = handle_failed_attempt(result, target);
    // Released stage results must be produced again before the stream can
    // resume.
    return m_is_prompt_read && m_stages && outcome == attempt_outcome::retry
               ? attempt_outcome::redo_stages
               : outcome;
}

awaitable<bool> exchange::send_events(target_call& call, std::string events)
{
    std::string bytes;
    if (!m_is_head_sent)
    {
        http_fields fields = m_context.protocol.returned_fields(call.head());
        fields.set(http::field::transfer_encoding, "chunked");
        m_session->announce_close(fields);
        bytes = serialize_head(call.head().result_int(), fields);
        m_is_head_sent = true;
    }
    bytes += chunk_head(events.size());
    events += "\r\n";
    co_return co_await m_session->send(std::move(bytes), events);
}

awaitable<exchange::attempt_outcome>
exchange::relay_event_stream(target_call& call)
{
    event_stream events(m_last_event_id);
    if (!m_last_event_id && !m_metadata.last_event_id.empty())
    {
        std::uint64_t last = 0;
        const std::string& text = m_metadata.last_event_id;
        if (std::from_chars(text.data(), text.data() + text.size(), last).ec ==
            std::errc())
            events = event_stream(last);
    }
    for (;;)
    {
        std::string complete_events = events.add(call.take_body());
        if (events.is_out_of_order())
        {
            call.abort();
            m_refusal = refusal::answer_spoiled;
            co_return attempt_outcome::retry;
        }
        if (events.is_too_long() ||
            !call.hold(events.held_bytes() + complete_events.capacity()))
            co_return handle_failed_attempt(
                target_call::outcome::invalid_answer,
                call.target().incarnation);
        if (!complete_events.empty())
        {
            if (!m_is_prompt_read)
            {
                // The engine has read its inputs, so the space that holds them
                // can be released.
                m_is_prompt_read = true;
                m_first_event_at = m_context.now();
                if (m_first_byte_at == instant{})
                    m_first_byte_at = m_context.now();
                report_generation(decision::generation_event::first_event);
                if (!accept_first_event())
                {
                    call.abort();
                    m_refusal = refusal::answer_spoiled;
                    co_return attempt_outcome::retry;
                }
                m_context.times_by_route[m_route->name].time_to_first_event.add(
                    m_context.now() - m_sent_at);
                if (m_stages)
                    m_stages->release();
            }
            m_last_event_id = events.last_id();
            m_sends->allow_refusals();
            if (!co_await send_events(call, std::move(complete_events)))
            {
                call.abort();
                co_return attempt_outcome::answered;
            }
            call.hold(events.held_bytes());
            m_progress->note_event(m_context.now());
        }
        if (call.is_complete())
            break;
        const auto result = co_await read_more(call);
        if (m_session->has_disconnected())
        {
            call.abort();
            co_return attempt_outcome::given_up;
        }
        if (result == target_call::outcome::ok)
        {
            record_target_alive(m_context, call.target().incarnation,
                                call.opened_at());
            if (has_survived())
                record_survival();
        }
        else
            co_return handle_broken_stream(result, call.target().incarnation);
    }
    if (!events.is_between_events() || !m_is_head_sent)
    {
        // A target that crashes closes its connections, too.
        if (call.ends_with_connection())
            record_crash(call.target().incarnation);
        else if (!m_is_prompt_read)
            co_await give_up_answer(call);
        m_refusal = refusal::answer_spoiled;
        co_return m_is_head_sent ? attempt_outcome::redo_stages
                                 : attempt_outcome::retry;
    }
    const auto end = co_await check_end(call);
    if (m_session->has_disconnected())
        co_return attempt_outcome::given_up;
    if (end != target_call::outcome::ok)
        co_return handle_broken_stream(end, call.target().incarnation);
    m_context.count("requests_answered", "status", "200");
    record_content_served(m_context, content_digest());
    record_survival();
    if (m_sends->sends() == 1)
    {
        auto& times = m_context.times_by_route[m_route->name];
        times.time_per_token.add((m_context.now() - m_first_byte_at) /
                                 max_output_tokens());
        times.answer_time.add(m_context.now() - m_sent_at);
    }
    if (!co_await m_session->send("0\r\n\r\n"))
        m_session->close_after_response();
    co_return attempt_outcome::answered;
}

} // namespace mangofold::serving
