#include "decision/call_planner.hpp"

#include <set>

namespace mangofold::decision
{

call_planner::finished_job
call_planner::taken(std::map<std::uint64_t, job_state>::iterator one)
{
    m_waiting_pieces -= one->second.waiting.size();
    finished_job job{std::move(one->second.job), {}};
    for (auto& [piece, handle] : one->second.made)
        job.handles.push_back(std::move(handle));
    m_jobs.erase(one);
    return job;
}

std::optional<call_planner::finished_job>
call_planner::take(std::uint64_t number)
{
    const auto found = m_jobs.find(number);
    if (found == m_jobs.end())
        return std::nullopt;
    return taken(found);
}

void call_planner::cancel(std::uint64_t number)
{
    take(number);
}

bool call_planner::has_waiting(std::uint64_t number) const
{
    const auto found = m_jobs.find(number);
    return found != m_jobs.end() && !found->second.waiting.empty();
}

bool call_planner::is_under_way(std::uint64_t number) const
{
    const auto found = m_jobs.find(number);
    return found != m_jobs.end() && found->second.is_under_way();
}

const piece_job* call_planner::find(std::uint64_t number) const
{
    const auto found = m_jobs.find(number);
    return found == m_jobs.end() ? nullptr : &found->second.job;
}

void call_planner::piece_made(const piece_ref& piece,
                              const target_incarnation& target,
                              const std::string& handle, instant now)
{
    const auto job = m_jobs.find(piece.job);
    const std::uint64_t bytes =
        job == m_jobs.end() ? 0 : job->second.job.result_bytes;
    const auto maker = m_targets.find(target);
    if (maker != m_targets.end())
        maker->second.keep(handle, bytes, now + m_shape.result_lifetime);
    if (job == m_jobs.end())
        return;
    job->second.made[piece.piece] = handle;
    if (job->second.made.size() == job->second.job.pieces)
        m_finished.push_back(piece.job);
}

void call_planner::piece_lost(const piece_ref& piece)
{
    const auto job = m_jobs.find(piece.job);
    if (job == m_jobs.end() || job->second.made.contains(piece.piece))
        return;
    job->second.waiting.push_back(piece.piece);
    ++m_waiting_pieces;
}

void call_planner::note_target_ended(const planned_call& call)
{
    std::set<std::uint64_t> numbers;
    for (const piece_ref& piece : call.pieces)
        numbers.insert(piece.job);
    for (const std::uint64_t one : numbers)
    {
        const auto job = m_jobs.find(one);
        if (job != m_jobs.end())
            ++job->second.targets_ended;
    }
}

void call_planner::released(const target_incarnation& target,
                            const std::string& handle)
{
    const auto maker = m_targets.find(target);
    if (maker != m_targets.end())
        maker->second.release(handle);
}

std::vector<call_planner::finished_job> call_planner::take_finished()
{
    std::vector<finished_job> jobs;
    for (const std::uint64_t number : m_finished)
        if (auto job = take(number))
            jobs.push_back(std::move(*job));
    m_finished.clear();
    return jobs;
}

std::vector<call_planner::finished_job>
call_planner::take_expired(instant now, const outlook& later)
{
    std::vector<finished_job> jobs;
    for (auto one = m_jobs.begin(); one != m_jobs.end();)
    {
        const auto next = std::next(one);
        const job_state& state = one->second;
        if (!state.is_under_way() &&
            state.job.expires < now + m_shape.per_call +
                                    later.time_after(state.job,
                                                     m_shape.per_call,
                                                     state.job.is_late))
            jobs.push_back(taken(one));
        one = next;
    }
    return jobs;
}

} // namespace mangofold::decision
