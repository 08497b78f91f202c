#include "decision/stages/call_planner.hpp"

#include <set>

namespace mangofold::decision
{

call_planner::removed_job
call_planner::remove(std::map<std::uint64_t, job_state>::iterator entry)
{
    m_waiting_pieces -= entry->second.waiting.size();
    removed_job removed{std::move(entry->second.job), {}};
    for (auto& [piece, handle] : entry->second.results)
        removed.handles.push_back(std::move(handle));
    m_jobs.erase(entry);
    return removed;
}

std::optional<call_planner::removed_job>
call_planner::take(std::uint64_t number)
{
    const auto found = m_jobs.find(number);
    if (found == m_jobs.end())
        return std::nullopt;
    return remove(found);
}

void call_planner::cancel(std::uint64_t number)
{
    take(number);
}

bool call_planner::has_waiting_pieces(std::uint64_t number) const
{
    const auto found = m_jobs.find(number);
    return found != m_jobs.end() && !found->second.waiting.empty();
}

bool call_planner::is_in_progress(std::uint64_t number) const
{
    const auto found = m_jobs.find(number);
    return found != m_jobs.end() && found->second.is_in_progress();
}

const stage_job* call_planner::find(std::uint64_t number) const
{
    const auto found = m_jobs.find(number);
    return found == m_jobs.end() ? nullptr : &found->second.job;
}

void call_planner::note_piece_completed(const piece_ref& piece,
                                        const target_incarnation& target,
                                        const std::string& handle, instant now)
{
    const auto job = m_jobs.find(piece.job);
    const std::uint64_t bytes =
        job == m_jobs.end() ? 0 : job->second.job.result_bytes;
    const auto producer = m_targets.find(target);
    if (producer != m_targets.end())
        producer->second.store(handle, bytes, now + m_profile.result_lifetime);
    if (job == m_jobs.end())
        return;
    job->second.results[piece.piece] = handle;
    if (job->second.results.size() == job->second.job.pieces)
        m_finished.push_back(piece.job);
}

void call_planner::requeue_piece(const piece_ref& piece)
{
    const auto job = m_jobs.find(piece.job);
    if (job == m_jobs.end() || job->second.results.contains(piece.piece))
        return;
    job->second.waiting.push_back(piece.piece);
    ++m_waiting_pieces;
}

void call_planner::note_suspected_crash(const planned_call& call)
{
    std::set<std::uint64_t> numbers;
    for (const piece_ref& piece : call.pieces)
        numbers.insert(piece.job);
    for (const std::uint64_t number : numbers)
    {
        const auto job = m_jobs.find(number);
        if (job != m_jobs.end())
            ++job->second.crashes;
    }
}

void call_planner::note_released(const target_incarnation& target,
                                 const std::string& handle)
{
    const auto producer = m_targets.find(target);
    if (producer != m_targets.end())
        producer->second.release(handle);
}

std::vector<call_planner::removed_job> call_planner::take_finished()
{
    std::vector<removed_job> jobs;
    for (const std::uint64_t number : m_finished)
        if (auto job = take(number))
            jobs.push_back(std::move(*job));
    m_finished.clear();
    return jobs;
}

// A job of a stream in progress is given up when even idle targets could not do
// it in time. The forecast of waits may be wrong by seconds right after a
// disturbance, and its caller has spent much to get here.
std::vector<call_planner::removed_job>
call_planner::take_expired(instant now, const downstream_estimates& downstream)
{
    std::vector<removed_job> jobs;
    const instant earliest = earliest_call(now);
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();)
    {
        const auto next = std::next(entry);
        const job_state& state = entry->second;
        if (!state.is_in_progress() &&
            state.job.expires <
                earliest + m_profile.time_per_call +
                    (state.job.continues_stream
                         ? downstream.least_time(state.job)
                         : downstream.remaining_time(state.job,
                                                     m_profile.time_per_call,
                                                     state.job.is_late)))
            jobs.push_back(remove(entry));
        entry = next;
    }
    return jobs;
}

} // namespace mangofold::decision
