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
                                 const runtime::clock& time,
                                 runtime::metrics& counters)
    : m_sidecars(sidecars), m_router(routes), m_clock(time),
      m_metrics(counters), m_contents(time, counters)
{
}

outcome pipeline_runner::run(const request& value,
                             const configuration::snapshot_ptr& in_force)
{
    const manifest::pipeline& pipeline =
        *in_force->document.find_pipeline(value.pipeline);
    const duration allowed = value.deadline == duration::zero()
                                 ? pipeline.deadline
                                 : std::min(value.deadline, pipeline.deadline);
    progress state(value, in_force->document, pipeline,
                   m_clock.now() + allowed);
    if (pipeline.is_repeatable() && is_hopeless(state, allowed))
        return state.result;
    for (const manifest::stage& stage : pipeline.stages)
    {
        const stage_result result = run_stage(state, stage);
        if (result.status != stage_status::done)
        {
            conclude(state, stage, result);
            return state.result;
        }
        state.has_run = true;
        state.result.is_replayed = result.is_replayed;
        state.previous = result.body;
    }
    state.result.kind = outcome_kind::answered;
    state.result.answer = std::move(state.previous);
    return state.result;
}

// A request that cannot end in time is refused before its first stage: run
// in part, it would take the time of targets from requests that can, and its
// caller would learn so only at its deadline.
bool pipeline_runner::is_hopeless(progress& state, duration allowed)
{
    const duration expected = m_router.expected(state.pipeline);
    // What is expected is an average; close to the deadline, half of the
    // requests would miss it after most of their work was done.
    constexpr double hopeful_share = 0.75;
    const auto hopeful =
        std::chrono::duration_cast<duration>(allowed * hopeful_share);
    if (expected <= hopeful)
        return false;
    random_source random(m_seed++);
    state.result.kind = outcome_kind::refused;
    state.result.why = reason::too_late;
    // Spread over the time that the work ahead takes, so that those who are
    // sent away now do not all come back together.
    state.result.retry_after =
        (expected - hopeful) +
        duration(random.below(static_cast<std::uint64_t>(expected.count())));
    return true;
}

// "Refused" is said only where no stage ran at all: a refusal at the third
// stage is a failure to the caller. Where a stage may not be repeated, an
// earlier sending may have run it; then only its owner can say "not run".
void pipeline_runner::conclude(progress& state, const manifest::stage& stage,
                               const stage_result& result)
{
    outcome& ended = state.result;
    ended.why = result.cause;
    ended.stage = stage.id;
    ended.retry_after = result.retry_after;
    const bool is_over = result.cause == reason::deadline_passed;
    const bool is_owners_word =
        !stage.is_repeatable && is_reported_by_sidecar(result.cause);
    const bool is_refused = result.status == stage_status::refused;
    if (is_refused && !state.has_run &&
        (is_owners_word || state.pipeline.is_repeatable()))
        ended.kind = outcome_kind::refused;
    else if (!state.pipeline.is_repeatable())
        ended.kind = outcome_kind::unknown;
    else
        ended.kind =
            is_over ? outcome_kind::deadline_passed : outcome_kind::failed;
}

stage_result pipeline_runner::run_stage(progress& state,
                                        const manifest::stage& stage)
{
    const instant begun = m_clock.now();
    stage_cost cost{stage.id, {}, 0};
    const stage_result result = stage.is_repeatable
                                    ? run_repeatable(state, stage, cost)
                                    : run_owned(state, stage, cost);
    if (result.status == stage_status::done)
        m_contents.note_served(content_of(state, stage));
    const std::string labels = runtime::label("pipeline", state.pipeline.id) +
                               "," + runtime::label("stage", stage.id);
    m_metrics.observe({"mangofold_stage_seconds", labels},
                      m_clock.now() - begun);
    m_metrics.count({"mangofold_stage_service_microseconds_total", labels}) +=
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(cost.service)
                .count());
    state.result.costs.push_back(std::move(cost));
    return result;
}

digest pipeline_runner::content_of(const progress& state,
                                   const manifest::stage& stage)
{
    return stage_content_digest({state.asked.account, state.asked.id, stage.id},
                                content_digest(state.asked));
}

std::optional<duration> pipeline_runner::keep_back(progress& state,
                                                   const manifest::stage& stage)
{
    return m_contents.keep_back(content_of(state, stage), state.deadline,
                                *state.replies);
}

stage_result pipeline_runner::run_repeatable(progress& state,
                                             const manifest::stage& stage,
                                             stage_cost& cost)
{
    repeatable_run attempts(m_policy, state.deadline, m_seed++);
    const std::string timed = state.pipeline.id + "/" + stage.id;
    const duration usual = m_timing.usual(timed);
    const work_class work = state.pipeline.priority;
    instant sent_at{};
    std::optional<dispatched> out;
    const auto withdraw = [&]
    {
        if (out)
            m_sidecars.withdraw(*out);
        out.reset();
    };
    while (true)
    {
        const instant now = m_clock.now();
        const attempt_step step = m_router.with_budget(
            stage.pool,
            [&](retry_budget& budget)
            {
                return attempts.next_step(
                    now, budget,
                    attempt_timeout(usual, state.deadline - sent_at));
            });
        if (const auto* ended = std::get_if<finish_stage>(&step))
        {
            withdraw();
            return ended->result;
        }
        if (const auto* send = std::get_if<send_attempt>(&step))
        {
            withdraw();
            if (const auto back = keep_back(state, stage))
                return attempts.quarantined_result(*back);
            const auto target =
                m_router.pick(stage.pool, work, send->avoided_targets);
            if (target)
                out = m_sidecars.submit(*target,
                                        submission_for(state, stage, *send),
                                        state.replies);
            if (!out)
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
        out.reset();
        cost.service += result->service_time;
        if (result->status == stage_status::done)
            m_timing.add(timed, m_clock.now() - sent_at);
    }
}

stage_result pipeline_runner::run_owned(progress& state,
                                        const manifest::stage& stage,
                                        stage_cost& cost)
{
    const auto& tickets = state.asked.tickets;
    const auto ticket = std::find_if(tickets.begin(), tickets.end(),
                                     [&](const stage_ticket& one)
                                     { return one.stage == stage.id; });
    std::optional<std::string> ticket_target;
    if (ticket != tickets.end())
        ticket_target = ticket->value.target;
    owned_run attempts(m_policy, state.deadline, owners(state, stage),
                       ticket_target);
    if (const auto back = keep_back(state, stage))
        return refused(reason::quarantined, *back);
    while (true)
    {
        const instant now = m_clock.now();
        const attempt_step step = attempts.next_step(now);
        if (const auto* ended = std::get_if<finish_stage>(&step))
            return ended->result;
        if (const auto* send = std::get_if<send_attempt>(&step))
        {
            submission work = submission_for(state, stage, *send);
            if (send->uses_ticket)
                work.presented_ticket = ticket->value;
            const auto out =
                m_sidecars.submit(send->target, std::move(work), state.replies);
            if (!out)
            {
                attempts.not_sent(m_clock.now());
                continue;
            }
            ++cost.attempts;
            attempts.sent(out->incarnation);
            continue;
        }
        const auto result = next_result(state, stage, attempts,
                                        std::get<wait_until>(step).until);
        if (result && !result->is_replayed)
            cost.service += result->service_time;
    }
}

// What arrives is bound to its request, stage and attempt. Anything else is
// an answer that was given up or went astray; it must not become part of
// this request's.
template<typename Attempts>
std::optional<stage_result>
pipeline_runner::next_result(progress& state, const manifest::stage& stage,
                             Attempts& attempts, instant until)
{
    const auto arrived = state.replies->take(until - m_clock.now());
    if (!arrived)
        return std::nullopt;
    const instant now = m_clock.now();
    if (const auto* lost = std::get_if<link_broke>(&*arrived))
    {
        attempts.link_lost(lost->attempt, now);
        count_retry(stage, reason::link_lost);
        return std::nullopt;
    }
    const auto* came = std::get_if<result_arrived>(&*arrived);
    if (came == nullptr)
        return std::nullopt;
    const bool is_own =
        came->request_id == state.asked.id && came->stage == stage.id;
    if (!is_own || !attempts.ended(came->attempt, came->result, now))
    {
        ++m_metrics.count({"mangofold_late_results_total", ""});
        return std::nullopt;
    }
    if (came->result.status != stage_status::done)
        count_retry(stage, came->result.cause);
    return came->result;
}

submission pipeline_runner::submission_for(const progress& state,
                                           const manifest::stage& stage,
                                           const send_attempt& step)
{
    submission work;
    work.key = {state.asked.account, state.asked.id, stage.id};
    work.attempt = step.attempt;
    work.is_repeatable = stage.is_repeatable;
    work.priority = state.pipeline.priority;
    const manifest::account* account =
        state.document.find_account(state.asked.account);
    work.weight = account != nullptr ? account->weight : 1;
    work.budget = std::max(state.deadline - m_clock.now(), duration::zero());
    work.model = stage.model;
    work.request_digest = content_digest(state.asked);
    work.pinned_incarnation = step.pinned_incarnation;
    work.renounced_by = step.renounced_by;
    work.body = "{\"request\":";
    work.body += state.asked.input.empty() ? "null" : state.asked.input;
    work.body += ",\"previous\":";
    work.body += state.previous.empty() ? "null" : state.previous;
    work.body += '}';
    return work;
}

void pipeline_runner::count_retry(const manifest::stage& stage, reason why)
{
    ++m_metrics.count({"mangofold_attempts_without_answer_total",
                       runtime::label("stage", stage.id) + "," +
                           runtime::label("reason", to_string(why))});
}

} // namespace mangofold::entry
