#include "entry/caller_api.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mangofold::entry
{

using decision::reason;
using runtime::http_reply;
using runtime::http_request;

namespace
{

constexpr decision::duration default_retry_delay = std::chrono::seconds(1);
constexpr std::size_t max_recent_requests = 50'000;

outcome refusal(reason cause, decision::duration retry_after = {})
{
    outcome result;
    result.kind = outcome_kind::refused;
    result.cause = cause;
    result.retry_after = retry_after;
    return result;
}

outcome malformed(reason cause, std::string text)
{
    outcome result;
    result.kind = outcome_kind::malformed;
    result.cause = cause;
    result.message = std::move(text);
    return result;
}

// Returns the outcome of a resend that this entry refused. An earlier attempt
// of the same request may have run or may still run, so "not run" would be
// false.
outcome_kind refused_resend_kind(const manifest::pipeline& pipeline)
{
    return pipeline.is_repeatable() ? outcome_kind::failed
                                    : outcome_kind::unknown;
}

unsigned http_status(const outcome& result)
{
    switch (result.kind)
    {
    case outcome_kind::answered:
        return 200;
    case outcome_kind::refused:
        return result.cause == reason::account_limit ? 429 : 503;
    case outcome_kind::failed:
        return 502;
    case outcome_kind::unknown:
        return 500;
    case outcome_kind::deadline_passed:
        return 504;
    case outcome_kind::malformed:
        return result.cause == reason::unknown_pipeline ? 404 : 400;
    }
    return 500;
}

std::string_view ran_text(outcome_kind kind)
{
    switch (kind)
    {
    case outcome_kind::answered:
        return "yes";
    case outcome_kind::refused:
    case outcome_kind::malformed:
        return "no";
    case outcome_kind::failed:
    case outcome_kind::deadline_passed:
        return "in_part";
    case outcome_kind::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

caller_api::caller_api(pipeline_runner& runner,
                       configuration::config_store& store,
                       const link_table& links, const runtime::clock& clock,
                       runtime::metrics& metrics, unsigned max_in_progress)
    : m_runner(runner), m_store(store), m_links(links), m_clock(clock),
      m_metrics(metrics), m_in_progress(max_in_progress),
      m_recent_requests(max_recent_requests)
{
}

void caller_api::register_handlers(runtime::http_server& server)
{
    server.set_handler("/v1/requests", [this](const http_request& incoming)
                       { return handle_request(incoming); });
    server.set_handler("/v1/tickets", [this](const http_request& incoming)
                       { return handle_ticket_request(incoming); });
}

http_reply caller_api::handle_request(const http_request& incoming)
{
    const decision::instant started_at = m_clock.now();
    request parsed;
    const outcome result = parse_and_run(incoming, parsed);
    const std::string pipeline =
        result.kind == outcome_kind::malformed ? "" : parsed.pipeline;
    ++m_metrics.count({"mangofold_requests_total",
                       runtime::label("pipeline", pipeline) + "," +
                           runtime::label("outcome", to_string(result.kind)) +
                           "," +
                           runtime::label("reason", to_string(result.cause))});
    m_metrics.observe(
        {"mangofold_request_seconds", runtime::label("pipeline", pipeline)},
        m_clock.now() - started_at);
    return to_reply(parsed, result);
}

outcome caller_api::parse_and_run(const http_request& incoming, request& parsed)
{
    if (incoming.method != "POST")
        return malformed(reason::bad_request, "the method must be POST");
    if (incoming.is_too_large)
        return malformed(reason::bad_request, "the request body is too large");
    try
    {
        parsed = parse_request(incoming.body);
    }
    catch (const request_error& error)
    {
        return malformed(reason::bad_request, error.what());
    }
    return validate_and_run(parsed);
}

outcome caller_api::validate_and_run(request& parsed)
{
    const configuration::snapshot_ptr snapshot = m_store.current();
    if (!snapshot)
        return refusal(reason::not_ready, default_retry_delay);
    const manifest::document& document = snapshot->document;
    const manifest::pipeline* pipeline =
        document.find_pipeline(parsed.pipeline);
    if (pipeline == nullptr)
        return malformed(reason::unknown_pipeline,
                         "unknown pipeline '" + parsed.pipeline + "'");
    const manifest::account* account = document.find_account(parsed.account);
    if (account == nullptr)
        return malformed(reason::unknown_account,
                         "unknown client account '" + parsed.account + "'");
    if (parsed.id.empty())
    {
        if (!pipeline->is_repeatable())
            return malformed(reason::bad_request,
                             "'request_id' is missing: the pipeline has a "
                             "stage that must not be repeated");
        parsed.id = new_request_id();
    }
    const decision::digest key = decision::digest_of(parsed.account, parsed.id);
    bool is_first = false;
    {
        const std::lock_guard lock(m_mutex);
        is_first = !m_recent_requests.may_have_started(key, m_clock.now());
    }
    std::optional<outcome> result = admit(parsed, *pipeline, *account);
    if (!result)
        return run_admitted(parsed, *pipeline, snapshot, is_first);
    // Only the owner knows whether an earlier attempt ran a stage that must
    // not be repeated, and the owner was not asked.
    if (!is_first || !pipeline->is_repeatable())
        result->kind = refused_resend_kind(*pipeline);
    return *result;
}

// The draining flag is checked under the lock that counts the request in, so
// that a stopping entry waits for every request that it did not refuse.
std::optional<outcome> caller_api::admit(const request& parsed,
                                         const manifest::pipeline& pipeline,
                                         const manifest::account& account)
{
    const double entries = m_links.entry_count();
    const std::lock_guard lock(m_mutex);
    const decision::instant now = m_clock.now();
    if (m_is_draining)
        return refusal(reason::entry_draining, default_retry_delay);
    if (const auto retry_after = m_account_limiter.throttle(
            parsed.account, {account.rate_per_s, account.burst}, entries, now))
        return refusal(reason::account_limit, *retry_after);
    if (!m_in_progress.try_acquire(pipeline.priority))
        return refusal(reason::entry_busy, default_retry_delay);
    m_recent_requests.note(decision::digest_of(parsed.account, parsed.id), now,
                           m_store.current()->document.start_horizon() +
                               pipeline.deadline);
    return std::nullopt;
}

outcome caller_api::run_admitted(const request& parsed,
                                 const manifest::pipeline& pipeline,
                                 const configuration::snapshot_ptr& snapshot,
                                 bool is_first)
{
    outcome result = m_runner.run(parsed, snapshot);
    const bool is_refused = result.kind == outcome_kind::refused;
    const std::lock_guard lock(m_mutex);
    m_in_progress.release(pipeline.priority);
    if (is_refused && is_first)
        m_recent_requests.forget(
            decision::digest_of(parsed.account, parsed.id));
    else if (is_refused)
        result.kind = refused_resend_kind(pipeline);
    return result;
}

std::size_t caller_api::in_progress() const
{
    const std::lock_guard lock(m_mutex);
    return m_in_progress.count();
}

http_reply caller_api::handle_ticket_request(const http_request& incoming)
{
    request parsed;
    try
    {
        parsed = parse_request(incoming.body);
    }
    catch (const request_error& error)
    {
        return to_reply(parsed, malformed(reason::bad_request, error.what()));
    }
    const configuration::snapshot_ptr snapshot = m_store.current();
    if (!snapshot || m_is_draining)
        return to_reply(parsed,
                        refusal(reason::not_ready, default_retry_delay));
    const manifest::pipeline* pipeline =
        snapshot->document.find_pipeline(parsed.pipeline);
    if (pipeline == nullptr)
        return to_reply(
            parsed, malformed(reason::unknown_pipeline,
                              "unknown pipeline '" + parsed.pipeline + "'"));
    if (parsed.id.empty())
        return to_reply(
            parsed, malformed(reason::bad_request, "'request_id' is missing"));
    const auto ticket = m_runner.mint_tickets(parsed, *pipeline, snapshot);
    if (!ticket)
        return to_reply(parsed,
                        refusal(reason::no_target, default_retry_delay));
    const nlohmann::json body{
        {"ticket", *ticket},
        {"request_id", parsed.id},
        {"valid_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                         snapshot->document.resend_horizon)
                         .count()}};
    return {201, "application/json", body.dump(), 0};
}

http_reply caller_api::to_reply(const request& parsed,
                                const outcome& result) const
{
    nlohmann::json body{{"request_id", parsed.id},
                        {"outcome", to_string(result.kind)},
                        {"ran", ran_text(result.kind)}};
    if (result.kind != outcome_kind::answered)
    {
        body["reason"] = to_string(result.cause);
        // A request can always be resent under the same id: the owner
        // recognizes a stage that must not be repeated.
        body["may_resend"] = result.kind != outcome_kind::malformed;
    }
    if (!result.stage.empty())
        body["stage"] = result.stage;
    if (!result.message.empty())
        body["message"] = result.message;
    if (result.is_replayed)
        body["replayed"] = true;
    const auto retry_ms =
        std::chrono::ceil<std::chrono::milliseconds>(result.retry_after);
    if (retry_ms.count() > 0)
        body["retry_after_ms"] = retry_ms.count();
    for (const stage_cost& cost : result.costs)
        body["stages"].push_back(
            {{"stage", cost.stage},
             {"attempts", cost.attempts},
             {"service_us",
              std::chrono::duration_cast<std::chrono::microseconds>(
                  cost.service_time)
                  .count()}});
    std::string text = body.dump();
    if (result.kind == outcome_kind::answered)
    {
        text.pop_back();
        text += ",\"answer\":" + result.answer + "}";
    }
    const auto retry_s = std::chrono::ceil<std::chrono::seconds>(retry_ms);
    return {http_status(result), "application/json", std::move(text),
            static_cast<unsigned>(retry_s.count())};
}

std::string caller_api::new_request_id()
{
    const auto ticks =
        static_cast<std::uint64_t>(m_clock.now().time_since_epoch().count());
    return "auto-" + std::to_string(ticks) + "-" + std::to_string(m_next_id++);
}

} // namespace mangofold::entry
