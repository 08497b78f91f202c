#include "serving/piece_batcher.hpp"

#include "runtime/event.hpp"
#include "serving/target_call.hpp"
#include "serving/target_losses.hpp"
#include "serving/target_statements.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// How often expired jobs and results to release are looked for: a tenth of a
/// call's fixed time.
constexpr duration tick = std::chrono::milliseconds(20);

/// A call is aborted after its expected time multiplied by this factor, plus
/// this margin: its target is unreachable. A target that only became slow has a
/// higher expected time by its next call.
constexpr int timeout_factor = 3;
constexpr duration timeout_margin = std::chrono::milliseconds(300);

constexpr duration summary_interval = std::chrono::seconds(1);

} // namespace

piece_batcher::piece_batcher(entry_context& context) : m_context(context)
{
    m_estimates.remaining_time =
        [this](const decision::stage_job& job, duration call_time, bool is_late)
    { return forecast_for(job, call_time, is_late).remaining_time; };
    m_estimates.least_time = [this](const decision::stage_job& job)
    {
        duration sum{};
        for (const decision::downstream_pieces& stage : job.downstream)
            if (const auto* profile = call_profile_of(stage.service))
                sum += profile->time_per_call;
        return sum;
    };
    m_estimates.may_start =
        [this](const decision::stage_job& job, duration call_time, bool yields)
    {
        const auto& forecast = forecast_for(job, call_time, job.is_late);
        return yields ? forecast.may_start_yielding : forecast.may_start;
    };
    m_estimates.outlook = [this](const std::string& service)
    { return outlook_of(service); };
    m_estimates.is_wanted = [this](const decision::stage_job& job)
    {
        // Numbers are unique over all services.
        for (const auto& [service, queue] : m_queues)
            if (const auto accepted = queue->jobs.find(job.number);
                accepted != queue->jobs.end())
                return !accepted->second.failure &&
                       accepted->second.is_wanted();
        return true;
    };
}

piece_batcher::service_queue*
piece_batcher::queue_of(const std::string& service)
{
    const auto* found =
        m_context.catalog ? m_context.catalog->find_service(service) : nullptr;
    if (found == nullptr || !found->calls)
        return nullptr;
    auto& queue = m_queues[service];
    if (!queue)
        queue = std::make_unique<service_queue>(*found->calls);
    queue->planner.set_profile(*found->calls);
    update_targets(service, *queue);
    return queue.get();
}

std::size_t piece_batcher::job_count() const
{
    std::size_t sum = 0;
    for (const auto& [service, queue] : m_queues)
        sum += queue->jobs.size();
    return sum;
}

void piece_batcher::add(const std::string& service, decision::stage_job job,
                        outcome_callback done, wanted_check is_wanted,
                        fetched_callback fetched)
{
    service_queue* queue = queue_of(service);
    if (queue == nullptr || is_unavailable(service, job.continues_stream))
    {
        done({decision::job_status::failed, {}, false});
        return;
    }
    job.number = m_next_number++;
    job.queued_at = m_context.now();
    queue->jobs[job.number] = {std::move(done),
                               std::move(is_wanted),
                               std::move(fetched),
                               false,
                               0,
                               {},
                               0};
    queue->last_job_at = m_context.now();
    queue->planner.add(std::move(job));
    start_calls(service, *queue);
}

void piece_batcher::start_calls(const std::string& service,
                                service_queue& queue)
{
    update_targets(service, queue);
    update_call_limits(service, queue);
    while (auto plan = queue.planner.next_call(m_context.now(), m_estimates))
    {
        note_started_jobs(queue, *plan);
        count_call(queue, *plan);
        m_context.request_limits.note_sent(plan->target, m_context.now());
        update_call_limits(service, queue);
        spawn(m_context.loop, run_call(service, std::move(*plan)));
    }
}

std::vector<piece_task>
piece_batcher::piece_tasks(const service_queue& queue,
                           const decision::planned_call& plan) const
{
    std::vector<piece_task> found;
    const instant now = m_context.now();
    for (const decision::piece_ref& ref : plan.pieces)
    {
        const decision::stage_job* job = queue.planner.find(ref.job);
        if (job == nullptr)
            continue;
        found.push_back({job->request, job->stage, ref.piece,
                         time_until(job->expires, now), job->key, job->inputs});
    }
    return found;
}

// Targets fetch inputs at the start of a call; after that the inputs only take
// up memory that other results need. They are released as soon as they must
// have arrived, a call's time before the call ends.
duration piece_batcher::fetch_time(const service_queue& queue,
                                   const decision::planned_call& plan) const
{
    std::uint64_t bytes = 0;
    for (const decision::piece_ref& ref : plan.pieces)
        if (const auto* job = queue.planner.find(ref.job))
            bytes += job->input_bytes;
    return decision::input_release::fetch_time(
        bytes, queue.planner.profile().link_bytes_per_s);
}

// A call that waits behind another one fetches its inputs when it begins. A job
// may have pieces in several calls, for example after a full target refused
// one: its inputs are needed until all of them have been fetched.
awaitable<void> piece_batcher::report_fetched_inputs(
    std::string service, decision::planned_call plan, duration after)
{
    service_queue& queue = *m_queues.at(service);
    for (const std::uint64_t number : job_numbers(plan))
        if (const auto accepted = queue.jobs.find(number);
            accepted != queue.jobs.end())
            ++accepted->second.pending_fetches;
    loop_timer timer(m_context.loop);
    error_code ignored; // No other code cancels this timer.
    while (queue.planner.is_queued(plan))
    {
        timer.expires_after(tick);
        co_await timer.async_wait(store_error_in(ignored));
    }
    timer.expires_after(after);
    co_await timer.async_wait(store_error_in(ignored));
    for (const std::uint64_t number : job_numbers(plan))
    {
        const auto accepted = queue.jobs.find(number);
        if (accepted == queue.jobs.end() ||
            --accepted->second.pending_fetches > 0 ||
            accepted->second.has_fetched_inputs ||
            queue.planner.has_waiting_pieces(number))
            continue;
        accepted->second.has_fetched_inputs = true;
        accepted->second.fetched();
    }
}

awaitable<void> piece_batcher::run_call(std::string service,
                                        decision::planned_call plan)
{
    service_queue& queue = *m_queues.at(service);
    const auto* target = m_context.directory.find(plan.target);
    if (target == nullptr)
    {
        queue.planner.note_call_failed(plan, false, m_context.now());
        handle_lost_call(queue, plan);
        co_return;
    }
    const instant started_at = m_context.now();
    const auto sent_call = std::make_shared<target_call>(
        m_context.connection_pool, m_context.protocol,
        call_destination{target->incarnation,
                         runtime::address::parse(target->address)});
    sent_call->set_send_check(
        [this, id = plan.target]
        { return m_context.directory.find(id) != nullptr; });
    sent_call->set_max_body_bytes(max_call_answer_bytes);
    http_request request =
        m_context.protocol.make_pieces_request(piece_tasks(queue, plan));
    const duration timeout =
        plan.expected_time * timeout_factor + timeout_margin;
    spawn(m_context.loop,
          report_fetched_inputs(service, plan, fetch_time(queue, plan)));
    auto state = co_await sent_call->send_request(
        std::move(request), m_context.call_ids.next(), timeout);
    const bool is_full =
        state == target_call::outcome::ok && sent_call->metadata().has_not_run;
    // A target that refuses a call ahead is busy with the current one. The
    // rest that it asks for is not needed.
    if (state == target_call::outcome::ok && !(is_full && plan.is_ahead))
        record_target_statements(m_context, *sent_call, started_at);
    if (state == target_call::outcome::ok && sent_call->metadata().load)
        queue.planner.note_load(plan.target, *sent_call->metadata().load,
                                m_context.now());
    if (state == target_call::outcome::ok)
        state = co_await sent_call->read_rest(timeout);
    const instant now = m_context.now();
    constexpr unsigned ok = 200;
    const bool has_ended = state == target_call::outcome::ok &&
                           sent_call->head().result_int() == ok;
    const auto results =
        has_ended ? read_results(plan, *sent_call) : std::nullopt;
    // The connections of a target that was killed end in order, too.
    const bool is_cut =
        has_ended && !results && sent_call->ends_with_connection();
    if (is_cut)
        state = target_call::outcome::connection_lost;
    // An answer that can't be used casts doubt on all that the connection
    // brings.
    const instant opened_at = sent_call->opened_at();
    const bool is_usable = results || (is_full && !has_ended);
    is_usable ? sent_call->release_connection() : sent_call->abort();
    if (!has_ended || is_cut)
        handle_failed_call(service, plan, state, is_full, started_at);
    else
    {
        queue.planner.note_call_answered(plan, now - started_at, now);
        record_target_alive(m_context, plan.target, opened_at);
        if (results)
            handle_results(queue, plan, *results);
        else
            handle_lost_call(queue, plan);
    }
    queue.pieces += plan.pieces.size();
    ++queue.calls;
    end_finished_jobs(service, queue);
    end_unwanted_jobs(service, queue);
    start_calls(service, queue);
}

awaitable<void> piece_batcher::run()
{
    loop_timer timer(m_context.loop);
    for (;;)
    {
        error_code ignored; // No other code cancels this timer.
        timer.expires_after(tick);
        co_await timer.async_wait(store_error_in(ignored));
        for (const auto& [service, times] : wait_times())
            note_wait_times(service, times);
        for (auto& [service, queue] : m_queues)
        {
            if (!queue->jobs.empty())
            {
                end_unwanted_jobs(service, *queue);
                start_calls(service, *queue);
            }
            if (!queue->pending_releases.empty())
                spawn(m_context.loop, send_releases(service));
        }
        if (m_context.now() < m_summarized_at + summary_interval)
            continue;
        m_summarized_at = m_context.now();
        for (auto& [service, queue] : m_queues)
            summarize(service, *queue);
    }
}

} // namespace mangofold::serving
