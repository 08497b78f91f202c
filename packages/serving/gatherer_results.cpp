#include "runtime/event.hpp"
#include "serving/gatherer.hpp"
#include "serving/target_losses.hpp"

namespace mangofold::serving
{

namespace
{

/// Calls with pieces of one job that may be lost before it counts as failed.
constexpr std::uint32_t most_losses = 3;

} // namespace

void gatherer::take_results(line& one, const decision::planned_call& plan,
                            const std::vector<piece_result>& results)
{
    const instant now = m_context.now();
    if (results.size() != plan.pieces.size())
    {
        lose(one, plan);
        return;
    }
    for (std::size_t index = 0; index < results.size(); ++index)
    {
        const decision::piece_ref& ref = plan.pieces[index];
        switch (results[index].status)
        {
        case piece_result::status_code::succeeded:
            one.planner.note_piece_made(ref, plan.target, results[index].handle,
                                        now);
            if (one.planner.find(ref.job) == nullptr)
                let_go(one, results[index].handle);
            break;
        case piece_result::status_code::memory_full:
            m_context.count("pieces_lost", "why", "room");
            ++one.no_room;
            one.planner.note_memory_full(plan.target, now);
            one.planner.requeue_piece(ref);
            break;
        case piece_result::status_code::failed:
            m_context.count("pieces_lost", "why", "failed");
            one.planner.requeue_piece(ref);
            break;
        case piece_result::status_code::expired:
            m_context.count("pieces_lost", "why", "late");
            give_up(one, ref, decision::job_status::expired);
            break;
        case piece_result::status_code::input_lost:
            m_context.count("pieces_lost", "why", "gone");
            give_up(one, ref, decision::job_status::input_lost);
            break;
        }
    }
}

void gatherer::give_up(line& one, const decision::piece_ref& piece,
                       decision::job_status end)
{
    const auto asked = one.asked.find(piece.job);
    if (asked != one.asked.end())
        asked->second.given_up = end;
    one.planner.requeue_piece(piece);
}

void gatherer::let_go(line& one, const std::string& handle)
{
    one.to_release[m_context.speech.producer_address(handle)].push_back(handle);
}

// A full target ran nothing, so nothing was lost. Counted as losses, three
// refusals within a call's time ended requests that had seconds left.
void gatherer::put_back(line& one, const decision::planned_call& plan)
{
    for (const decision::piece_ref& ref : plan.pieces)
        one.planner.requeue_piece(ref);
}

void gatherer::note_target_ends(const line& one,
                                const decision::planned_call& plan,
                                instant began)
{
    std::uint64_t last = 0;
    for (const decision::piece_ref& ref : plan.pieces)
    {
        const decision::stage_job* job = one.planner.find(ref.job);
        if (job == nullptr || ref.job == std::exchange(last, ref.job))
            continue;
        note_target_end(
            m_context,
            {job->content, plan.target, began, m_context.now(), false},
            job->request);
    }
}

void gatherer::lose(line& one, const decision::planned_call& plan)
{
    std::uint64_t last = 0;
    for (const decision::piece_ref& ref : plan.pieces)
    {
        one.planner.requeue_piece(ref);
        const auto asked = one.asked.find(ref.job);
        if (asked == one.asked.end())
            continue;
        if (ref.job != last)
            ++asked->second.losses;
        if (asked->second.is_fetched)
            asked->second.given_up = decision::job_status::input_lost;
        last = ref.job;
    }
}

void gatherer::end_job(const std::string& service, line& one,
                       std::uint64_t number, decision::job_status end,
                       std::vector<std::string> handles, bool was_late)
{
    const auto asked = one.asked.find(number);
    if (asked == one.asked.end())
        return;
    const outcome_sink done = std::move(asked->second.done);
    one.asked.erase(asked);
    std::vector<std::string> kept = handles;
    const bool is_made = end == decision::job_status::completed;
    if (!is_made)
        handles.clear();
    const bool is_taken = done({end, std::move(handles), was_late});
    if (!is_made || !is_taken)
        release(service, kept);
}

void gatherer::end_finished(const std::string& service, line& one)
{
    for (auto& done : one.planner.take_finished())
        end_job(service, one, done.job.number, decision::job_status::completed,
                std::move(done.handles), done.job.is_late);
}

// Pieces that nobody waits for any more, or that can't be ready in time, only
// take the room and the time of others. Where all targets are evacuated, what
// waits is told at once instead of when its time is over.
void gatherer::end_unwanted(const std::string& service, line& one)
{
    const bool is_evacuated = m_context.directory.is_evacuated(service);
    std::vector<std::pair<std::uint64_t, decision::job_status>> ended;
    for (const auto& [number, asked] : one.asked)
    {
        if (!asked.wanted())
            ended.emplace_back(number, decision::job_status::expired);
        else if (asked.given_up)
            ended.emplace_back(number, *asked.given_up);
        else if (asked.losses >= most_losses ||
                 (is_evacuated && !one.planner.is_in_progress(number)))
            ended.emplace_back(number, decision::job_status::failed);
    }
    for (const auto& [number, end] : ended)
        if (auto job = one.planner.take(number))
            end_job(service, one, number, end, std::move(job->handles));
    for (auto& late : one.planner.take_expired(m_context.now(), m_outlook))
    {
        ++one.late;
        end_job(service, one, late.job.number, decision::job_status::expired,
                std::move(late.handles));
    }
}

void gatherer::summarize(const std::string& service, line& one)
{
    if (one.calls == 0 && one.planner.waiting_jobs() == 0)
        return;
    const instant now = m_context.now();
    runtime::event("service_gathered")
        .with("service", service)
        .with("calls", one.calls)
        .with("pieces", one.pieces)
        .with("waiting_jobs", one.planner.waiting_jobs())
        .with("waiting_pieces", one.planner.waiting_pieces())
        .with("wait_ms", static_cast<std::uint64_t>(
                             one.planner.expected_wait(now).count() / 1000000))
        .with("room_used", one.planner.stored_bytes())
        .with("no_room", one.no_room)
        .with("late", one.late)
        .info();
    m_context.metrics.count({"calls", runtime::label("service", service)}) +=
        one.calls;
    m_context.metrics.count({"pieces", runtime::label("service", service)}) +=
        one.pieces;
    one.calls = 0;
    one.pieces = 0;
    one.no_room = 0;
    one.late = 0;
}

} // namespace mangofold::serving
