#include "entry/pipeline_runner.hpp"

#include "decision/owned_run.hpp"
#include "decision/repeatable_run.hpp"
#include "decision/request_content.hpp"
#include "entry/pipeline_progress.hpp"

#include <algorithm>

namespace mangofold::entry
{

using namespace decision;

pipeline_runner::pipeline_runner(dispatcher& sidecars, router& routes,
                                 const runtime::clock& clock,
                                 runtime::metrics& metrics)
    : m_sidecars(sidecars), m_router(routes), m_clock(clock),
      m_metrics(metrics), m_quarantine(clock, metrics)
{
}

outcome pipeline_runner::run(const request& value,
                             const configuration::snapshot_ptr& snapshot)
{
    const manifest::pipeline& pipeline =
        *snapshot->document.find_pipeline(value.pipeline);
    const duration allowed = value.deadline == duration::zero()
                                 ? pipeline.deadline
                                 : std::min(value.deadline, pipeline.deadline);
    progress state(value, snapshot->document, pipeline,
                   m_clock.now() + allowed);
    if (pipeline.is_repeatable() && refuse_if_infeasible(state, allowed))
        return state.result;
    for (const manifest::stage& stage : pipeline.stages)
    {
        const stage_result result = run_stage(state, stage);
        if (result.status != stage_status::done)
        {
            set_failure(state, stage, result);
            return state.result;
        }
        state.has_completed_stage = true;
        state.result.is_replayed = result.is_replayed;
        state.previous_output = result.body;
    }
    state.result.kind = outcome_kind::answered;
    state.result.answer = std::move(state.previous_output);
    return state.result;
}

// A request that cannot complete in time is refused before its first stage. If
// it ran in part, it would take capacity from requests that can complete, and
// the client would learn of the failure only at the deadline.
bool pipeline_runner::refuse_if_infeasible(progress& state, duration allowed)
{
    const duration expected = m_router.expected_latency(state.pipeline);
    // The expected latency is an average: with a limit close to the deadline,
    // half of the requests would miss it after most of their work was done.
    constexpr double max_deadline_share = 0.75;
    const auto max_expected =
        std::chrono::duration_cast<duration>(allowed * max_deadline_share);
    if (expected <= max_expected)
        return false;
    random_source random(m_next_seed++);
    state.result.kind = outcome_kind::refused;
    state.result.cause = reason::too_late;
    // Spread the retries over the time that the queued work takes, so that
    // the clients refused now do not all retry at once.
    state.result.retry_after =
        (expected - max_expected) +
        duration(random.below(static_cast<std::uint64_t>(expected.count())));
    return true;
}

// A request is reported as refused only if no stage ran at all: a refusal at
// the third stage is a failure to the client. A stage that must not be repeated
// may have run in an earlier attempt, so only its owner can report that it did
// not run.
void pipeline_runner::set_failure(progress& state, const manifest::stage& stage,
                                  const stage_result& result)
{
    outcome& failure = state.result;
    failure.cause = result.cause;
    failure.stage = stage.id;
    failure.retry_after = result.retry_after;
    const bool is_past_deadline = result.cause == reason::deadline_passed;
    const bool is_reported_by_owner =
        !stage.is_repeatable && is_reported_by_sidecar(result.cause);
    const bool is_refused = result.status == stage_status::refused;
    if (is_refused && !state.has_completed_stage &&
        (is_reported_by_owner || state.pipeline.is_repeatable()))
        failure.kind = outcome_kind::refused;
    else if (!state.pipeline.is_repeatable())
        failure.kind = outcome_kind::unknown;
    else
        failure.kind = is_past_deadline ? outcome_kind::deadline_passed
                                        : outcome_kind::failed;
}

stage_result pipeline_runner::run_stage(progress& state,
                                        const manifest::stage& stage)
{
    const instant started_at = m_clock.now();
    stage_cost cost{stage.id, {}, 0};
    const stage_result result = stage.is_repeatable
                                    ? run_repeatable(state, stage, cost)
                                    : run_owned(state, stage, cost);
    if (result.status == stage_status::done)
        m_quarantine.note_served(stage_content(state, stage));
    const std::string labels = runtime::label("pipeline", state.pipeline.id) +
                               "," + runtime::label("stage", stage.id);
    m_metrics.observe({"mangofold_stage_seconds", labels},
                      m_clock.now() - started_at);
    m_metrics.count({"mangofold_stage_service_microseconds_total", labels}) +=
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(
                cost.service_time)
                .count());
    state.result.costs.push_back(std::move(cost));
    return result;
}

digest pipeline_runner::stage_content(const progress& state,
                                      const manifest::stage& stage)
{
    return stage_content_digest(
        {state.client_request.account, state.client_request.id, stage.id},
        content_digest(state.client_request));
}

std::optional<duration>
pipeline_runner::quarantine_delay(progress& state, const manifest::stage& stage)
{
    return m_quarantine.quarantine_delay(stage_content(state, stage),
                                         state.deadline, *state.replies);
}

stage_result pipeline_runner::run_repeatable(progress& state,
                                             const manifest::stage& stage,
                                             stage_cost& cost)
{
    repeatable_run attempts(m_policy, state.deadline, m_next_seed++);
    const std::string timing_key = state.pipeline.id + "/" + stage.id;
    const duration typical_latency = m_latency.p99(timing_key);
    const work_class work = state.pipeline.priority;
    instant sent_at{};
    std::optional<sent_submission> in_flight;
    const auto cancel_in_flight = [&]
    {
        if (in_flight)
            m_sidecars.cancel(*in_flight);
        in_flight.reset();
    };
    while (true)
    {
        const instant now = m_clock.now();
        const attempt_step step = m_router.with_retry_budget(
            stage.pool,
            [&](retry_budget& budget)
            {
                return attempts.next_step(
                    now, budget,
                    attempt_timeout(typical_latency, state.deadline - sent_at));
            });
        if (const auto* finished = std::get_if<finish_stage>(&step))
        {
            cancel_in_flight();
            return finished->result;
        }
        if (const auto* send = std::get_if<send_attempt>(&step))
        {
            cancel_in_flight();
            if (const auto retry_after = quarantine_delay(state, stage))
                return attempts.quarantined_result(*retry_after);
            const auto target =
                m_router.pick(stage.pool, work, send->avoided_targets);
            if (target)
                in_flight = m_sidecars.submit(
                    *target, make_submission(state, stage, *send),
                    state.replies);
            if (!in_flight)
            {
                attempts.not_sent(m_clock.now());
                continue;
            }
            ++cost.attempts;
            sent_at = m_clock.now();
            attempts.sent(*target, sent_at);
            continue;
        }
        const auto result = next_result(state, stage, attempts,
                                        std::get<wait_until>(step).until);
        if (!result)
            continue;
        in_flight.reset();
        cost.service_time += result->service_time;
        if (result->status == stage_status::done)
            m_latency.add(timing_key, m_clock.now() - sent_at);
    }
}

stage_result pipeline_runner::run_owned(progress& state,
                                        const manifest::stage& stage,
                                        stage_cost& cost)
{
    const auto& tickets = state.client_request.tickets;
    const auto ticket = std::find_if(tickets.begin(), tickets.end(),
                                     [&](const stage_ticket& candidate)
                                     { return candidate.stage == stage.id; });
    std::optional<std::string> ticket_target;
    if (ticket != tickets.end())
        ticket_target = ticket->value.target;
    owned_run attempts(m_policy, state.deadline, owners(state, stage),
                       ticket_target);
    if (const auto retry_after = quarantine_delay(state, stage))
        return refused(reason::quarantined, *retry_after);
    while (true)
    {
        const instant now = m_clock.now();
        const attempt_step step = attempts.next_step(now);
        if (const auto* finished = std::get_if<finish_stage>(&step))
            return finished->result;
        if (const auto* send = std::get_if<send_attempt>(&step))
        {
            submission work = make_submission(state, stage, *send);
            if (send->uses_ticket)
                work.presented_ticket = ticket->value;
            const auto sent =
                m_sidecars.submit(send->target, std::move(work), state.replies);
            if (!sent)
            {
                attempts.not_sent(m_clock.now());
                continue;
            }
            ++cost.attempts;
            attempts.sent(sent->incarnation);
            continue;
        }
        const auto result = next_result(state, stage, attempts,
                                        std::get<wait_until>(step).until);
        if (result && !result->is_replayed)
            cost.service_time += result->service_time;
    }
}

// A result is accepted only if its request, stage and attempt match. Any other
// result belongs to an abandoned attempt or was misdirected, and must not
// become part of the answer to this request.
template<typename Attempts>
std::optional<stage_result>
pipeline_runner::next_result(progress& state, const manifest::stage& stage,
                             Attempts& attempts, instant until)
{
    const auto arrived = state.replies->take(until - m_clock.now());
    if (!arrived)
        return std::nullopt;
    const instant now = m_clock.now();
    if (const auto* lost_link = std::get_if<link_lost_message>(&*arrived))
    {
        attempts.link_lost(lost_link->attempt, now);
        count_unanswered_attempt(stage, reason::link_lost);
        return std::nullopt;
    }
    const auto* arrived_result = std::get_if<result_message>(&*arrived);
    if (arrived_result == nullptr)
        return std::nullopt;
    const bool is_own = arrived_result->request_id == state.client_request.id &&
                        arrived_result->stage == stage.id;
    if (!is_own ||
        !attempts.ended(arrived_result->attempt, arrived_result->result, now))
    {
        ++m_metrics.count({"mangofold_late_results_total", ""});
        return std::nullopt;
    }
    if (arrived_result->result.status != stage_status::done)
        count_unanswered_attempt(stage, arrived_result->result.cause);
    return arrived_result->result;
}

submission pipeline_runner::make_submission(const progress& state,
                                            const manifest::stage& stage,
                                            const send_attempt& step)
{
    submission work;
    work.key = {state.client_request.account, state.client_request.id,
                stage.id};
    work.attempt = step.attempt;
    work.is_repeatable = stage.is_repeatable;
    work.priority = state.pipeline.priority;
    const manifest::account* account =
        state.document.find_account(state.client_request.account);
    work.weight = account != nullptr ? account->weight : 1;
    work.budget = std::max(state.deadline - m_clock.now(), duration::zero());
    work.model = stage.model;
    work.request_digest = content_digest(state.client_request);
    work.pinned_incarnation = step.pinned_incarnation;
    work.renounced_by = step.renounced_by;
    work.body = "{\"request\":";
    work.body += state.client_request.input.empty()
                     ? "null"
                     : state.client_request.input;
    work.body += ",\"previous\":";
    work.body += state.previous_output.empty() ? "null" : state.previous_output;
    work.body += '}';
    return work;
}

void pipeline_runner::count_unanswered_attempt(const manifest::stage& stage,
                                               reason cause)
{
    ++m_metrics.count({"mangofold_attempts_without_answer_total",
                       runtime::label("stage", stage.id) + "," +
                           runtime::label("reason", to_string(cause))});
}

} // namespace mangofold::entry
