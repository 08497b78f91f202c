#include "runtime/event.hpp"
#include "serving/piece_batcher.hpp"
#include "serving/target_losses.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// A job fails once this many calls with pieces of it were lost.
constexpr std::uint32_t max_lost_calls = 3;

} // namespace

std::optional<std::vector<piece_result>>
piece_batcher::read_results(const decision::planned_call& plan,
                            target_call& call) const
{
    try
    {
        auto results = m_context.protocol.parse_piece_results(call.take_body());
        if (results.size() != plan.pieces.size())
            throw invalid_message("wrong number of results");
        return results;
    }
    catch (const invalid_message& fault)
    {
        runtime::event("call_unreadable")
            .with("target", plan.target.id)
            .with("fault", fault.what())
            .warn();
        return std::nullopt;
    }
}

void piece_batcher::handle_results(service_queue& queue,
                                   const decision::planned_call& plan,
                                   const std::vector<piece_result>& results)
{
    const instant now = m_context.now();
    bool is_memory_full = false;
    for (std::size_t index = 0; index < results.size(); ++index)
    {
        const decision::piece_ref& ref = plan.pieces[index];
        switch (results[index].status)
        {
        case piece_result::status_code::succeeded:
            queue.planner.note_piece_completed(ref, plan.target,
                                               results[index].handle, now);
            if (queue.planner.find(ref.job) == nullptr)
                queue_release(queue, results[index].handle);
            break;
        case piece_result::status_code::memory_full:
            m_context.count("pieces_lost", "why", "room");
            ++queue.memory_refusals;
            is_memory_full = true;
            queue.planner.requeue_piece(ref);
            break;
        case piece_result::status_code::failed:
            m_context.count("pieces_lost", "why", "failed");
            queue.planner.requeue_piece(ref);
            break;
        case piece_result::status_code::expired:
            m_context.count("pieces_lost", "why", "late");
            mark_failed(queue, ref, decision::job_status::expired);
            break;
        case piece_result::status_code::input_lost:
            m_context.count("pieces_lost", "why", "gone");
            mark_failed(queue, ref, decision::job_status::input_lost);
            break;
        }
    }
    if (is_memory_full)
        queue.planner.note_memory_full(plan.target, now);
}

void piece_batcher::mark_failed(service_queue& queue,
                                const decision::piece_ref& piece,
                                decision::job_status status)
{
    const auto accepted = queue.jobs.find(piece.job);
    if (accepted != queue.jobs.end())
        accepted->second.failure = status;
    queue.planner.requeue_piece(piece);
}

void piece_batcher::queue_release(service_queue& queue,
                                  const std::string& handle)
{
    queue.pending_releases[m_context.protocol.producer_address(handle)]
        .push_back(handle);
}

// A full target ran nothing, so no call was lost. When such refusals counted as
// lost calls, three of them within a call's time failed requests that had
// seconds left.
void piece_batcher::requeue(service_queue& queue,
                            const decision::planned_call& plan)
{
    for (const decision::piece_ref& ref : plan.pieces)
        queue.planner.requeue_piece(ref);
}

void piece_batcher::note_target_crashes(const service_queue& queue,
                                        const decision::planned_call& plan,
                                        instant started_at)
{
    std::uint64_t last_job = 0;
    for (const decision::piece_ref& ref : plan.pieces)
    {
        const decision::stage_job* job = queue.planner.find(ref.job);
        if (job == nullptr || ref.job == std::exchange(last_job, ref.job))
            continue;
        record_target_crash(
            m_context,
            {job->content, plan.target, started_at, m_context.now(), false},
            job->request);
    }
}

std::set<std::uint64_t>
piece_batcher::job_numbers(const decision::planned_call& plan)
{
    std::set<std::uint64_t> numbers;
    for (const decision::piece_ref& ref : plan.pieces)
        numbers.insert(ref.job);
    return numbers;
}

// A call that waited behind a lost one has not begun, so it is neither lost nor
// a possible cause of the loss.
void piece_batcher::handle_failed_call(const std::string& service,
                                       const decision::planned_call& plan,
                                       target_call::outcome state, bool is_full,
                                       instant started_at)
{
    service_queue& queue = *m_queues.at(service);
    const instant now = m_context.now();
    const bool has_begun = queue.planner.may_have_begun(plan);
    const bool is_unsent = state == target_call::outcome::not_sent;
    if (is_full || is_unsent)
        queue.planner.note_call_failed(plan, is_full, now);
    else
        queue.planner.note_call_unanswered(plan, now);
    m_context.count("calls_failed", "why", is_full ? "full" : "lost");
    if (plan.is_ahead && is_full)
        m_context.count("calls_ahead", "how", "refused");
    if (is_full || !has_begun)
        return requeue(queue, plan);
    if (state == target_call::outcome::connection_lost)
    {
        note_target_crashes(queue, plan, started_at);
        queue.planner.note_suspected_crash(plan);
    }
    if (!is_unsent)
        runtime::event("call_lost")
            .with("service", service)
            .with("target", plan.target.id)
            .with("pieces", plan.pieces.size())
            .with("after_ms", whole_milliseconds(now - started_at))
            .warn();
    handle_lost_call(queue, plan);
}

void piece_batcher::count_call(const service_queue& queue,
                               const decision::planned_call& plan)
{
    if (plan.is_ahead)
        m_context.count("calls_ahead", "how", "sent");
    const std::size_t space = queue.planner.profile().max_pieces;
    const std::size_t pieces = plan.pieces.size();
    m_context.count("calls_by_fill", "share",
                    pieces >= space           ? "full"
                    : 4 * pieces >= 3 * space ? "three_quarters"
                    : 2 * pieces >= space     ? "half"
                                              : "less");
}

// The inputs of a job are released once they must have been fetched, so another
// call would not find them. Pieces without inputs can be called again.
void piece_batcher::handle_lost_call(service_queue& queue,
                                     const decision::planned_call& plan)
{
    std::uint64_t last_job = 0;
    for (const decision::piece_ref& ref : plan.pieces)
    {
        queue.planner.requeue_piece(ref);
        const auto accepted = queue.jobs.find(ref.job);
        if (accepted == queue.jobs.end())
            continue;
        if (ref.job != last_job)
            ++accepted->second.lost_calls;
        const decision::stage_job* job = queue.planner.find(ref.job);
        if (accepted->second.has_fetched_inputs && job != nullptr &&
            !job->inputs.empty())
            accepted->second.failure = decision::job_status::input_lost;
        last_job = ref.job;
    }
}

void piece_batcher::end_job(const std::string& service, service_queue& queue,
                            std::uint64_t number, job_outcome outcome)
{
    const auto accepted = queue.jobs.find(number);
    if (accepted == queue.jobs.end())
        return;
    const outcome_callback done = std::move(accepted->second.done);
    queue.jobs.erase(accepted);
    const std::vector<std::string> all_handles = outcome.handles;
    const bool is_completed = outcome.status == decision::job_status::completed;
    if (!is_completed)
        outcome.handles.clear();
    const bool is_taken = done(std::move(outcome));
    if (!is_completed || !is_taken)
        release(service, all_handles);
}

void piece_batcher::end_finished_jobs(const std::string& service,
                                      service_queue& queue)
{
    for (auto& done : queue.planner.take_finished())
        end_job(service, queue, done.job.number,
                {decision::job_status::completed, std::move(done.handles),
                 done.job.is_late});
}

bool piece_batcher::is_unavailable(const std::string& service,
                                   bool continues_stream) const
{
    if (m_context.directory.is_evacuated(service) || continues_stream)
        return m_context.directory.is_evacuated(service);
    const decision::resting_targets& resting = m_context.resting_targets;
    const auto& targets = m_context.directory.serving(service);
    const instant now = m_context.now();
    return resting.has_any() && !targets.empty() &&
           std::all_of(
               targets.begin(), targets.end(),
               [&](const auto* target)
               { return resting.rests_until(target->incarnation, now) > now; });
}

bool piece_batcher::continues_stream(const service_queue& queue,
                                     std::uint64_t number)
{
    const decision::stage_job* job = queue.planner.find(number);
    return job != nullptr && job->continues_stream;
}

// Pieces that no request waits for, or that can't be done in time, only take
// memory and time from others. Where all targets are evacuated or resting,
// waiting jobs fail at once instead of when they expire.
void piece_batcher::end_unwanted_jobs(const std::string& service,
                                      service_queue& queue)
{
    const bool has_no_target = is_unavailable(service, false);
    const bool has_none_for_streams = is_unavailable(service, true);
    std::vector<std::pair<std::uint64_t, decision::job_status>> ended;
    for (const auto& [number, accepted] : queue.jobs)
    {
        if (!accepted.is_wanted())
            ended.emplace_back(number, decision::job_status::expired);
        else if (accepted.failure)
            ended.emplace_back(number, *accepted.failure);
        else if (accepted.lost_calls >= max_lost_calls ||
                 ((continues_stream(queue, number) ? has_none_for_streams
                                                   : has_no_target) &&
                  !queue.planner.is_in_progress(number)))
            ended.emplace_back(number, decision::job_status::failed);
    }
    for (const auto& [number, status] : ended)
        if (auto job = queue.planner.take(number))
            end_job(service, queue, number, {status, std::move(job->handles)});
    end_rejected_jobs(service, queue);
    for (auto& expired_job :
         queue.planner.take_expired(m_context.now(), m_estimates))
    {
        ++queue.expired_jobs;
        end_job(
            service, queue, expired_job.job.number,
            {decision::job_status::expired, std::move(expired_job.handles)});
    }
}

void piece_batcher::summarize(const std::string& service, service_queue& queue)
{
    if (queue.calls == 0 && queue.planner.job_count() == 0)
        return;
    const instant now = m_context.now();
    runtime::event("service_gathered")
        .with("service", service)
        .with("calls", queue.calls)
        .with("pieces", queue.pieces)
        .with("waiting_jobs", queue.planner.job_count())
        .with("waiting_pieces", queue.planner.waiting_pieces())
        .with("wait_ms",
              static_cast<std::uint64_t>(
                  queue.planner.expected_wait(now).count() / 1000000))
        .with("wait_on_time_ms",
              whole_milliseconds(queue.planner.expected_wait(now, false)))
        .with("room_used", queue.planner.stored_bytes())
        .with("no_room", queue.memory_refusals)
        .with("late", queue.expired_jobs)
        .with("admission", count_admission(service, queue))
        .info();
    m_context.metrics.count({"calls", runtime::label("service", service)}) +=
        queue.calls;
    m_context.metrics.count({"pieces", runtime::label("service", service)}) +=
        queue.pieces;
    queue.calls = 0;
    queue.pieces = 0;
    queue.memory_refusals = 0;
    queue.expired_jobs = 0;
}

} // namespace mangofold::serving
