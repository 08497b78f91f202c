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

constexpr decision::duration come_back_soon = std::chrono::seconds(1);
constexpr std::size_t most_begun = 50'000;

outcome refusal(reason why, decision::duration retry_after = {})
{
    outcome ended;
    ended.kind = outcome_kind::refused;
    ended.why = why;
    ended.retry_after = retry_after;
    return ended;
}

outcome malformed(reason why, std::string text)
{
    outcome ended;
    ended.kind = outcome_kind::malformed;
    ended.why = why;
    ended.text = std::move(text);
    return ended;
}

// This sending was refused here; an earlier one of the same request may have
// run, or still run, so "not run" would be false.
outcome_kind kind_of_refused_resend(const manifest::pipeline& pipeline)
{
    return pipeline.is_repeatable() ? outcome_kind::failed
                                    : outcome_kind::unknown;
}

unsigned http_status(const outcome& ended)
{
    switch (ended.kind)
    {
    case outcome_kind::answered:
        return 200;
    case outcome_kind::refused:
        return ended.why == reason::account_limit ? 429 : 503;
    case outcome_kind::failed:
        return 502;
    case outcome_kind::unknown:
        return 500;
    case outcome_kind::deadline_passed:
        return 504;
    case outcome_kind::malformed:
        return ended.why == reason::unknown_pipeline ? 404 : 400;
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
                       const link_table& links, const runtime::clock& time,
                       runtime::metrics& counters, unsigned max_in_progress)
    : m_runner(runner), m_store(store), m_links(links), m_clock(time),
      m_metrics(counters), m_in_progress(max_in_progress), m_begun(most_begun)
{
}

void caller_api::add_to(runtime::http_server& server)
{
    server.set_handler("/v1/requests", [this](const http_request& from)
                       { return answer_request(from); });
    server.set_handler("/v1/tickets", [this](const http_request& from)
                       { return answer_ticket(from); });
}

http_reply caller_api::answer_request(const http_request& from)
{
    const decision::instant begun = m_clock.now();
    request parsed;
    const outcome ended = serve(from, parsed);
    const std::string pipeline =
        ended.kind == outcome_kind::malformed ? "" : parsed.pipeline;
    ++m_metrics.count({"mangofold_requests_total",
                       runtime::label("pipeline", pipeline) + "," +
                           runtime::label("outcome", to_string(ended.kind)) +
                           "," +
                           runtime::label("reason", to_string(ended.why))});
    m_metrics.observe(
        {"mangofold_request_seconds", runtime::label("pipeline", pipeline)},
        m_clock.now() - begun);
    return to_reply(parsed, ended);
}

outcome caller_api::serve(const http_request& from, request& parsed)
{
    if (from.method != "POST")
        return malformed(reason::bad_request, "use POST");
    if (from.is_too_large)
        return malformed(reason::bad_request, "the body is too large");
    try
    {
        parsed = parse_request(from.body);
    }
    catch (const request_error& fault)
    {
        return malformed(reason::bad_request, fault.what());
    }
    return check_and_run(parsed);
}

outcome caller_api::check_and_run(request& parsed)
{
    const configuration::snapshot_ptr in_force = m_store.current();
    if (!in_force)
        return refusal(reason::not_ready, come_back_soon);
    const manifest::document& document = in_force->document;
    const manifest::pipeline* pipeline =
        document.find_pipeline(parsed.pipeline);
    if (pipeline == nullptr)
        return malformed(reason::unknown_pipeline,
                         "no pipeline '" + parsed.pipeline + "'");
    const manifest::account* account = document.find_account(parsed.account);
    if (account == nullptr)
        return malformed(reason::unknown_account,
                         "no client account '" + parsed.account + "'");
    if (parsed.id.empty())
    {
        if (!pipeline->is_repeatable())
            return malformed(reason::bad_request,
                             "'request_id' is missing: this pipeline has a "
                             "stage that may not be repeated");
        parsed.id = new_request_id();
    }
    const decision::digest key = decision::digest_of(parsed.account, parsed.id);
    bool is_first = false;
    {
        const std::lock_guard lock(m_mutex);
        is_first = !m_begun.may_have_started(key, m_clock.now());
    }
    std::optional<outcome> ended = refuse_first(parsed, *pipeline, *account);
    if (!ended)
        return run_in_bounds(parsed, *pipeline, in_force, is_first);
    // Whether an earlier sending ran that may not be repeated, only the owner
    // knows, and nobody asked it.
    if (!is_first || !pipeline->is_repeatable())
        ended->kind = kind_of_refused_resend(*pipeline);
    return *ended;
}

// Whether it drains is looked at under the lock that counts the request in:
// an entry that stops then waits for every request that it did not refuse.
std::optional<outcome>
caller_api::refuse_first(const request& parsed,
                         const manifest::pipeline& pipeline,
                         const manifest::account& account)
{
    const double entries = m_links.entry_count();
    const std::lock_guard lock(m_mutex);
    const decision::instant now = m_clock.now();
    if (m_is_draining)
        return refusal(reason::entry_draining, come_back_soon);
    if (const auto wait = m_accounts.throttle(
            parsed.account, {account.rate_per_s, account.burst}, entries, now))
        return refusal(reason::account_limit, *wait);
    if (!m_in_progress.try_acquire(pipeline.priority))
        return refusal(reason::entry_busy, come_back_soon);
    m_begun.note(decision::digest_of(parsed.account, parsed.id), now,
                 m_store.current()->document.start_horizon() +
                     pipeline.deadline);
    return std::nullopt;
}

outcome caller_api::run_in_bounds(const request& parsed,
                                  const manifest::pipeline& pipeline,
                                  const configuration::snapshot_ptr& in_force,
                                  bool is_first)
{
    outcome ended = m_runner.run(parsed, in_force);
    const bool is_refused = ended.kind == outcome_kind::refused;
    const std::lock_guard lock(m_mutex);
    m_in_progress.release(pipeline.priority);
    if (is_refused && is_first)
        m_begun.forget(decision::digest_of(parsed.account, parsed.id));
    else if (is_refused)
        ended.kind = kind_of_refused_resend(pipeline);
    return ended;
}

std::size_t caller_api::in_progress() const
{
    const std::lock_guard lock(m_mutex);
    return m_in_progress.count();
}

http_reply caller_api::answer_ticket(const http_request& from)
{
    request parsed;
    try
    {
        parsed = parse_request(from.body);
    }
    catch (const request_error& fault)
    {
        return to_reply(parsed, malformed(reason::bad_request, fault.what()));
    }
    const configuration::snapshot_ptr in_force = m_store.current();
    if (!in_force || m_is_draining)
        return to_reply(parsed, refusal(reason::not_ready, come_back_soon));
    const manifest::pipeline* pipeline =
        in_force->document.find_pipeline(parsed.pipeline);
    if (pipeline == nullptr)
        return to_reply(parsed,
                        malformed(reason::unknown_pipeline,
                                  "no pipeline '" + parsed.pipeline + "'"));
    if (parsed.id.empty())
        return to_reply(
            parsed, malformed(reason::bad_request, "'request_id' is missing"));
    const auto ticket = m_runner.mint(parsed, *pipeline, in_force);
    if (!ticket)
        return to_reply(parsed, refusal(reason::no_target, come_back_soon));
    const nlohmann::json body{
        {"ticket", *ticket},
        {"request_id", parsed.id},
        {"valid_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                         in_force->document.resend_horizon)
                         .count()}};
    return {201, "application/json", body.dump(), 0};
}

http_reply caller_api::to_reply(const request& parsed,
                                const outcome& ended) const
{
    nlohmann::json body{{"request_id", parsed.id},
                        {"outcome", to_string(ended.kind)},
                        {"ran", ran_text(ended.kind)}};
    if (ended.kind != outcome_kind::answered)
    {
        body["reason"] = to_string(ended.why);
        // Under its own id a request can always be sent again: one that may
        // not be repeated is recognized.
        body["may_resend"] = ended.kind != outcome_kind::malformed;
    }
    if (!ended.stage.empty())
        body["stage"] = ended.stage;
    if (!ended.text.empty())
        body["message"] = ended.text;
    if (ended.is_replayed)
        body["replayed"] = true;
    const auto retry_ms =
        std::chrono::ceil<std::chrono::milliseconds>(ended.retry_after);
    if (retry_ms.count() > 0)
        body["retry_after_ms"] = retry_ms.count();
    for (const stage_cost& cost : ended.costs)
        body["stages"].push_back(
            {{"stage", cost.stage},
             {"attempts", cost.attempts},
             {"service_us",
              std::chrono::duration_cast<std::chrono::microseconds>(
                  cost.service)
                  .count()}});
    std::string text = body.dump();
    if (ended.kind == outcome_kind::answered)
    {
        text.pop_back();
        text += ",\"answer\":" + ended.answer + "}";
    }
    const auto retry_s = std::chrono::ceil<std::chrono::seconds>(retry_ms);
    return {http_status(ended), "application/json", std::move(text),
            static_cast<unsigned>(retry_s.count())};
}

std::string caller_api::new_request_id()
{
    const auto since =
        static_cast<std::uint64_t>(m_clock.now().time_since_epoch().count());
    return "auto-" + std::to_string(since) + "-" + std::to_string(m_next_id++);
}

} // namespace mangofold::entry
