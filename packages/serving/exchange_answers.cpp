#include "serving/exchange.hpp"

#include "serving/event_stream.hpp"
#include "serving/target_losses.hpp"

#include <algorithm>
#include <charconv>

namespace mangofold::serving
{

namespace
{

std::string chunk_of(const std::string& bytes)
{
    constexpr int hexadecimal = 16;
    char size[2 * sizeof(std::size_t)];
    const auto end =
        std::to_chars(size, size + sizeof size, bytes.size(), hexadecimal);
    std::string chunk(size, end.ptr);
    chunk += "\r\n";
    chunk += bytes;
    chunk += "\r\n";
    return chunk;
}

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

awaitable<exchange::attempt_end> exchange::pass_on(target_call& call)
{
    const unsigned status = call.head().result_int();
    m_answered = status;
    const bool is_sound = call.facts().is_signed && call.facts().is_unencoded;
    if (is_success(status) && !is_sound)
    {
        m_refusal = refusal::answer_spoiled;
        call.abort();
        co_return attempt_end::try_again;
    }
    if (m_route->is_stream && is_success(status))
        co_return co_await pass_events(call);
    co_return co_await pass_whole(call);
}

awaitable<exchange::attempt_end> exchange::pass_whole(target_call& call)
{
    while (!call.is_complete())
    {
        const auto got = co_await call.more(left());
        if (m_session->has_disconnected())
        {
            call.abort();
            co_return attempt_end::given_up;
        }
        if (got != target_call::state::good)
            co_return failed(got, call.target().start);
    }
    const unsigned status = call.head().result_int();
    // A failure of the target's own that may be tried elsewhere is: most are
    // of one target or one moment.
    const bool may_improve = status >= 500 && m_sends->may_send() &&
                             !m_is_head_sent && !is_over() &&
                             m_context.retries_of(m_service).has_retry();
    if (may_improve)
    {
        m_refusal = refusal::target_lost;
        co_return attempt_end::try_again;
    }
    m_refusal = refusal::none;
    if (m_is_head_sent)
    {
        // A stream that was to go on elsewhere met a failure there.
        m_refusal = refusal::target_lost;
        co_return attempt_end::given_up;
    }
    m_context.count("requests_answered", "status", std::to_string(status));
    if (is_success(status))
    {
        note_served(m_context, content());
        auto& times = m_context.routes[m_route->name];
        times.first.add(m_context.now() - m_sent_at);
        times.answer.add(m_context.now() - m_sent_at);
    }
    m_first_at = m_context.now();
    const std::string body = call.take_body();
    co_await m_session->send_response(
        status, m_context.speech.returned_fields(call.head()), body);
    co_return attempt_end::answered;
}

awaitable<bool> exchange::send_events(target_call& call, std::string events)
{
    std::string bytes;
    if (!m_is_head_sent)
    {
        http_fields fields = m_context.speech.returned_fields(call.head());
        fields.set(http::field::transfer_encoding, "chunked");
        if (!m_session->stays_open())
            fields.set(http::field::connection, "close");
        bytes = serialize_head(call.head().result_int(), fields);
        m_is_head_sent = true;
    }
    bytes += chunk_of(events);
    co_return co_await m_session->send(std::move(bytes));
}

awaitable<exchange::attempt_end> exchange::pass_events(target_call& call)
{
    event_stream events(m_last_event);
    if (!m_last_event && !m_facts.last_event_id.empty())
    {
        std::uint64_t last = 0;
        const std::string& text = m_facts.last_event_id;
        if (std::from_chars(text.data(), text.data() + text.size(), last).ec ==
            std::errc())
            events = event_stream(last);
    }
    for (;;)
    {
        std::string whole = events.add(call.take_body());
        if (events.is_out_of_order())
        {
            call.abort();
            m_refusal = refusal::answer_spoiled;
            co_return attempt_end::try_again;
        }
        if (!whole.empty())
        {
            if (!m_is_first_read)
            {
                // The engine has its inputs: their room is free for others.
                m_is_first_read = true;
                if (m_first_at == instant{})
                    m_first_at = m_context.now();
                m_context.engines.note_prompt_read(call.target().start,
                                                   m_tokens_ahead);
                m_context.engines.note_answered(call.target().start);
                m_context.routes[m_route->name].first.add(m_context.now() -
                                                          m_sent_at);
                if (m_stages)
                    m_stages->release();
            }
            m_last_event = events.last_id();
            if (!co_await send_events(call, std::move(whole)))
            {
                call.abort();
                co_return attempt_end::answered;
            }
        }
        if (call.is_complete())
            break;
        const auto got = co_await call.more(left());
        if (m_session->has_disconnected())
        {
            call.abort();
            co_return attempt_end::given_up;
        }
        if (got == target_call::state::good)
            note_alive(m_context, call.target().start, call.opened_at());
        else
        {
            const auto end = failed(got, call.target().start);
            // What was released must be made again before it can go on.
            co_return m_is_first_read&& m_stages&& end == attempt_end::try_again
                ? attempt_end::restart
                : end;
        }
    }
    if (!events.is_between_events() || !m_is_head_sent)
    {
        m_refusal = refusal::answer_spoiled;
        co_return m_is_head_sent ? attempt_end::restart
                                 : attempt_end::try_again;
    }
    m_context.count("requests_answered", "status", "200");
    note_served(m_context, content());
    if (m_sends->sends() == 1)
    {
        auto& times = m_context.routes[m_route->name];
        times.per_token.add((m_context.now() - m_first_at) / tokens_out());
        times.answer.add(m_context.now() - m_sent_at);
    }
    if (!co_await m_session->send("0\r\n\r\n"))
        m_session->close_after_response();
    co_return attempt_end::answered;
}

} // namespace mangofold::serving
