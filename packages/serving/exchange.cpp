#include "serving/exchange.hpp"

#include "decision/request_content.hpp"
#include "serving/target_losses.hpp"
#include "serving/target_statements.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// Share of the remaining time that a repeatable request waits for its first
/// target, while too few answers were measured to know the usual time.
constexpr double first_attempt_share = 0.4;

} // namespace

exchange::exchange(entry_context& context,
                   std::shared_ptr<caller_session> session,
                   http_request request, request_body_ptr body)
    : m_context(context), m_session(std::move(session)),
      m_request(std::move(request)), m_body(std::move(body)),
      m_started_at(context.now() -
                   (m_body ? m_body->time_waited : duration::zero()))
{
}

// A request sent after this time would probably be cut off by the end of the
// process.
instant exchange::latest_send_time() const
{
    return m_process_end == instant::max()
               ? m_process_end
               : m_process_end -
                     std::min(remaining_time(), longest_answer_time());
}

// A request that has not been sent yet would end without an answer, so its
// deadline is set to now and it is refused.
void exchange::prepare_for_shutdown()
{
    m_process_end = m_context.now();
    if (m_call)
        return;
    m_is_aborted_by_shutdown = true;
    m_deadline = std::min(m_deadline, m_context.now());
    if (m_stages)
        m_stages->abort();
}

// The session outlives the exchange, also if the exchange ended with an
// exception, so its callbacks must not refer to the exchange any more.
exchange::~exchange()
{
    m_session->set_on_disconnect(nullptr);
    m_session->set_on_shutdown(nullptr);
    m_session->set_on_exit(nullptr);
}

std::uint32_t exchange::max_output_tokens() const
{
    return std::max<std::uint32_t>(1, m_metadata.max_output_tokens);
}

duration exchange::remaining_time() const
{
    return m_deadline - m_context.now();
}

bool exchange::is_engine_service() const
{
    const auto* service = m_catalog->find_service(m_service);
    return service != nullptr && service->engine;
}

// Computed on demand: most requests never need the digest, and a body can be
// long.
const decision::digest& exchange::content_digest() const
{
    if (!m_content_digest)
        m_content_digest = decision::digest_of(decision::request_content{
            m_account == nullptr ? std::string_view() : m_account->name,
            view(m_request.method_string()), m_metadata.host,
            view(m_request.target()), m_body->bytes});
    return *m_content_digest;
}

awaitable<void> exchange::run()
{
    m_session->set_on_disconnect(
        [this]
        {
            if (m_call)
                m_call->abort();
            if (m_witness)
                m_witness->close();
            if (m_stages)
                m_stages->abort();
        });
    m_session->set_on_shutdown([this] { prepare_for_shutdown(); });
    m_session->set_on_exit([this] { note_exit(); });
    co_await wait_for_catalog();
    if (admit())
    {
        co_await wait_for_known_target();
        co_await serve();
    }
    release_stages();
    if (m_is_aborted_by_shutdown && m_answer_status == 0)
        m_refusal = refusal::stopping;
    co_await finish();
}

awaitable<void> exchange::serve()
{
    const bool has_stages =
        std::any_of(m_metadata.pieces.begin(), m_metadata.pieces.end(),
                    [](std::uint32_t count) { return count > 0; }) &&
        !m_route->stages.empty();
    const bool can_go_on = co_await find_stream_origin();
    if (!can_go_on)
        co_return;
    m_context.retry_budget_for(m_service).note_first_attempt();
    constexpr int max_rounds = 6;
    for (int round = 0; round < max_rounds || is_stream_in_progress(); ++round)
    {
        const bool may_start = co_await is_servable();
        if (!may_start)
            co_return;
        const attempt_outcome outcome = co_await run_round(has_stages);
        if (outcome == attempt_outcome::answered)
            co_return;
        if (outcome == attempt_outcome::redo_stages)
            release_stages();
        if (is_stream_in_progress())
        {
            const bool goes_on = co_await wait_for_next_round();
            if (!goes_on)
                co_return;
        }
        else if (outcome == attempt_outcome::given_up || !m_sends->may_send() ||
                 is_past_deadline())
            co_return;
    }
}

awaitable<bool> exchange::is_servable()
{
    if (m_session->check_disconnected())
        co_return false;
    const bool is_refused = co_await is_quarantined_before_stages();
    if (is_refused)
        co_return false;
    if (is_service_evacuated(!m_stages))
        m_refusal = refusal::evacuated;
    else if (is_version_gone())
        m_refusal = refusal::version_gone;
    else if (are_targets_unavailable())
        note_no_target();
    else
        co_return true;
    co_return false;
}

awaitable<exchange::attempt_outcome> exchange::run_round(bool has_stages)
{
    m_has_round_sent = false;
    if (has_stages && !m_stages)
    {
        const bool are_done = co_await run_stages();
        if (!are_done)
        {
            release_stages();
            co_return attempt_outcome::given_up;
        }
    }
    co_return co_await attempt();
}

// A repeatable request does not wait for a silent target until its deadline:
// the time within which nearly all answers arrive leaves enough for a second
// target.
duration exchange::attempt_timeout() const
{
    const bool has_other = m_sends->sends() < m_route->max_targets;
    if (m_route->is_stream || !m_route->is_repeatable || !has_other)
        return remaining_time();
    const auto usual_time = m_context.target_health.usual_max_latency();
    if (usual_time)
        return std::clamp(*usual_time, duration(remaining_time() / 10),
                          remaining_time());
    return duration(static_cast<duration::rep>(
        static_cast<double>(remaining_time().count()) * first_attempt_share));
}

void exchange::record_attempt_start(const decision::target_incarnation& target)
{
    m_tried_targets.insert(target);
    m_last_target = target;
    m_sends->note_sent();
    m_has_round_sent = true;
    if (m_verdict.outcome != decision::quarantine::admission::unrestricted)
        m_context.quarantine.note_sent(m_verdict.suspect, target);
    m_context.cold_targets.note_sent(target, m_context.warm_up_of(m_service),
                                     m_context.fleet_size(), m_context.now());
    m_context.request_limits.note_sent(target, m_context.now());
    if (is_engine_service())
        start_generation(target);
    else
        m_context.target_health.note_sent(target);
    m_is_prompt_read = false;
    m_is_outcome_recorded = false;
    m_is_survival_recorded = false;
}

void exchange::record_attempt_end(const decision::target_incarnation& target)
{
    if (m_verdict.outcome != decision::quarantine::admission::unrestricted)
        m_context.quarantine.note_finished(m_verdict.suspect, target);
    report_generation(decision::generation_event::ended);
}

awaitable<exchange::attempt_outcome> exchange::attempt()
{
    if (is_past_deadline())
    {
        m_refusal = refusal::too_late;
        co_return attempt_outcome::given_up;
    }
    // A send that reached no target is no load for any.
    const bool is_retry = m_sends->arrivals() > 0;
    const bool is_first_send = m_sends->sends() == 0;
    if (!m_sends->may_send())
        co_return attempt_outcome::given_up;
    const bool is_refused = co_await is_quarantined();
    if (is_refused)
        co_return attempt_outcome::given_up;
    if (m_context.now() > latest_send_time())
    {
        m_refusal = refusal::stopping;
        co_return attempt_outcome::given_up;
    }
    m_is_retry_spent = false;
    if (is_retry && !m_context.retry_budget_for(m_service).try_spend())
    {
        if (m_refusal == refusal::none)
            m_refusal = refusal::retries_spent;
        co_return attempt_outcome::given_up;
    }
    m_is_retry_spent = is_retry;
    const auto* target = co_await wait_for_target_choice();
    if (target != nullptr && is_engine_service())
        target = co_await place_generation(target);
    if (target == nullptr)
    {
        take_back_retry();
        note_no_target();
        co_return attempt_outcome::given_up;
    }
    if (!is_still_admitted())
    {
        take_back_retry();
        if (!m_scheduler.empty())
            cancel_placement();
        co_return attempt_outcome::retry;
    }
    m_refusal = refusal::none;
    m_target_version = target->version;
    const decision::target_incarnation id = target->incarnation;
    m_call = std::make_shared<target_call>(
        m_context.connection_pool, m_context.protocol,
        call_destination{id, runtime::address::parse(target->address)});
    m_call->set_send_check(
        [this, id]
        {
            const bool may_send = m_context.directory.find(id) != nullptr &&
                                  !m_session->check_disconnected();
            // Opened with the answer's head, the witness could be a connection
            // to a process that has started in place of a killed target.
            if (may_send && m_context.unframed_services.may_be_unframed(
                                m_service, m_context.now()))
                open_witness(*m_call);
            return may_send;
        });
    http_request forwarded_request;
    // Assigning the fields also overwrites method and path, so those are set
    // afterwards.
    static_cast<http_fields&>(forwarded_request.base()) =
        m_context.protocol.forwarded_fields(m_request,
                                            forwarding_metadata_for());
    forwarded_request.method_string(m_request.method_string());
    forwarded_request.target(m_request.target());
    record_attempt_start(id);
    schedule_early_release(id);
    const instant sent_at = m_context.now();
    m_sent_at = sent_at;
    if (is_first_send)
        m_context.times_by_route[m_route->name].time_to_send.add(sent_at -
                                                                 m_started_at);
    const auto send_result = co_await m_call->send_request(
        std::move(forwarded_request), m_metadata.id, attempt_timeout(),
        shared_bytes(m_body));
    if (send_result == target_call::outcome::ok)
    {
        record_target_alive(m_context, id, m_call->opened_at());
        record_target_statements(m_context, *m_call, sent_at);
        m_context.cold_targets.note_answered(
            id, m_context.warm_up_of(m_service).period, m_context.now());
    }
    attempt_outcome outcome = attempt_outcome::given_up;
    if (m_session->has_disconnected())
    {
        m_call->abort();
        m_context.target_health.note_abandoned(id);
    }
    else if (m_call->is_unmatched())
    {
        if (!is_engine_service())
            m_context.target_health.note_no_answer(id, m_context.now());
        co_await give_up_answer(*m_call);
        outcome = attempt_outcome::retry;
    }
    else if (send_result != target_call::outcome::ok)
        outcome = handle_failed_attempt(send_result, id);
    else if (m_call->metadata().has_not_run)
        outcome = handle_not_run(*m_call);
    else
    {
        outcome = co_await relay_answer(*m_call);
        if (!is_engine_service() && !m_is_outcome_recorded)
            m_context.target_health.note_answered(id, m_context.now() - sent_at,
                                                  m_call->head().result_int() >=
                                                      500);
    }
    outcome = outcome_without_inputs(outcome, id);
    record_attempt_end(id);
    m_call->release_connection();
    m_call.reset();
    m_witness.reset();
    co_return outcome;
}

} // namespace mangofold::serving
