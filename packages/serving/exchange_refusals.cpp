#include "runtime/event.hpp"
#include "serving/exchange.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace mangofold::serving
{

namespace
{

/// The longest a caller is asked to wait before it comes back. Callers heed
/// at most a third of the time they have left.
constexpr double back_share = 0.3;

constexpr std::array<std::string_view, 18> refusal_names{
    "none",          "malformed",      "no_catalog",    "no_route",
    "unknown_key",   "no_target",      "targets_full",  "too_late",
    "stages_late",   "stages_failed",  "retries_spent", "target_lost",
    "target_silent", "answer_spoiled", "stopping",      "quarantined",
    "evacuated",     "targets_cold"};

} // namespace

std::string_view to_string(refusal value)
{
    return refusal_names.at(static_cast<std::size_t>(value));
}

unsigned exchange::refusal_status() const
{
    switch (m_refusal)
    {
    case refusal::malformed:
        return 400;
    case refusal::no_route:
        return 404;
    case refusal::unknown_key:
        return 401;
    default:
        break;
    }
    // "Not run" is said only where it is sure; otherwise the caller must not
    // conclude anything.
    if (!m_sends || m_sends->is_known_not_run())
        return 503;
    const bool is_silence =
        m_refusal == refusal::target_silent || m_refusal == refusal::too_late;
    return is_silence ? 504 : 502;
}

// One that ends targets is told when it may be tried again: any sooner it is
// refused again. Where this process stops and others go on, those take it at
// once; where all stop, some are back by the time at which this one ends. All
// others come back as soon as a place may be free.
std::string exchange::back_after() const
{
    using seconds = std::chrono::duration<double>;
    if (m_refusal == refusal::quarantined)
        return std::to_string(static_cast<std::uint64_t>(
            std::ceil(seconds(m_verdict.back_after).count())));
    constexpr double soonest_s = 0.05;
    if (m_refusal == refusal::stopping && m_context.is_outlasted())
        return std::to_string(soonest_s).substr(0, 5);
    const double left_s =
        seconds(m_facts.budget ? *m_facts.budget - (m_context.now() - m_began)
                               : std::chrono::seconds(3))
            .count();
    if (m_refusal == refusal::targets_cold && m_cold_until)
        return std::to_string(
                   std::max(soonest_s,
                            seconds(*m_cold_until - m_context.now()).count()))
            .substr(0, 5);
    // Operators take zones back after a while that nobody here knows.
    if (m_refusal == refusal::evacuated)
        return std::to_string(std::max(soonest_s, left_s * back_share))
            .substr(0, 5);
    const double longest_s =
        m_refusal == refusal::stopping && m_context.drain
            ? seconds(m_context.drain->request_deadline() - m_context.now())
                  .count()
            : 1.0;
    const double back =
        std::max(soonest_s, std::min(left_s * back_share, longest_s));
    return std::to_string(back).substr(0, 5);
}

awaitable<void> exchange::refuse()
{
    if (m_is_head_sent)
    {
        // An answer that began and cannot end must not look complete.
        m_session->reset_connection();
        log_end(0);
        co_return;
    }
    const unsigned status = refusal_status();
    http_fields fields;
    fields.set(http::field::content_type, "application/json");
    if (!m_facts.id.empty())
        for (const auto& one : m_context.speech.request_id_fields(m_facts.id))
            fields.set(one.name_string(), one.value());
    if (status == 503)
        fields.set(http::field::retry_after, back_after());
    log_end(status);
    m_context.count("requests_refused", "why", to_string(m_refusal));
    co_await m_session->send_response(
        status, std::move(fields),
        R"({"error":")" + std::string(to_string(m_refusal)) + "\"}");
}

void exchange::log_answer() const
{
    const auto ms_to = [this](instant then)
    {
        return static_cast<std::uint64_t>(
            std::max<std::int64_t>(0, (then - m_began).count() / 1000000));
    };
    runtime::event("request_answered")
        .with("request", m_facts.id)
        .with("status", m_answered)
        .with("route", m_route->name)
        .with("target", m_last_target.id)
        .with("sends", m_sends->sends())
        .with("stages_ms", ms_to(m_stages_at))
        .with("sent_ms", ms_to(m_sent_at))
        .with("first_ms", ms_to(m_first_at))
        .with("end_ms", ms_to(m_context.now()))
        .with("tokens", m_facts.max_output_tokens)
        .with("stages_done", m_stages_done)
        .with("begun_late", m_is_begun_late ? 1 : 0)
        .with("catalog", m_catalog->version())
        .info();
}

void exchange::log_lost(const decision::target_start& target) const
{
    runtime::event("attempt_lost")
        .with("request", m_facts.id)
        .with("content", to_text(content()))
        .with("why", to_string(m_refusal))
        .with("route", m_route->name)
        .with("target", target.id)
        .with("born", target.born)
        .with("after_ms", whole_milliseconds(m_context.now() - m_sent_at))
        .with("has_events", m_last_event ? 1 : 0)
        .with("sends", m_sends->sends())
        .warn();
}

void exchange::log_end(unsigned status) const
{
    runtime::event line("request_refused");
    line.with("request", m_facts.id)
        .with("why", to_string(m_refusal))
        .with("status", status)
        .with("route", m_route == nullptr ? "" : m_route->name)
        .with("target", m_last_target.id)
        .with("sends", m_sends ? m_sends->sends() : 0)
        .with("left_ms", static_cast<std::uint64_t>(std::max<std::int64_t>(
                             0, left().count() / 1000000)))
        .with("catalog", m_catalog ? m_catalog->version() : 0);
    if (m_refusal == refusal::quarantined)
        line.with("content", to_text(content())).with("ends", m_verdict.ends);
    line.info();
}

} // namespace mangofold::serving
