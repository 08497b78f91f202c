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

/// Counts one request in progress for as long as it lives.
class in_progress_count
{
public:
    explicit in_progress_count(std::atomic<unsigned>& count) : m_count(count)
    {
        m_before = m_count++;
    }
    ~in_progress_count() { --m_count; }
    in_progress_count(const in_progress_count&) = delete;
    in_progress_count& operator=(const in_progress_count&) = delete;

    unsigned before() const { return m_before; }

private:
    std::atomic<unsigned>& m_count;
    unsigned m_before = 0;
};

} // namespace

caller_api::caller_api(pipeline_runner& runner,
                       configuration::config_store& store,
                       const runtime::clock& time, runtime::metrics& counters,
                       unsigned max_in_progress)
    : m_runner(runner), m_store(store), m_clock(time), m_metrics(counters),
      m_max_in_progress(max_in_progress)
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
    const in_progress_count count(m_in_progress);
    if (m_is_draining)
        return refusal(reason::entry_draining, come_back_soon);
    if (count.before() >= m_max_in_progress)
        return refusal(reason::entry_busy, come_back_soon);
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
    if (document.find_account(parsed.account) == nullptr)
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
    return m_runner.run(parsed, in_force);
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
