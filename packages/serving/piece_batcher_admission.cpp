#include "serving/piece_batcher.hpp"

#include <algorithm>

namespace mangofold::serving
{

decision::service_outlook
piece_batcher::outlook_of(const std::string& service) const
{
    const instant now = m_context.now();
    const auto* profile = call_profile_of(service);
    if (profile == nullptr)
        return {};
    return {m_backlog.work_ahead(service, now, false),
            m_backlog.work_ahead(service, now, true),
            time_per_piece_of(service, *profile),
            m_backlog.call_time(service, profile->time_per_call), 1};
}

// The time that the planning entry of the service reports, or the declared one
// before it has reported any. A service without usable targets reports a call's
// time.
duration
piece_batcher::time_per_piece_of(const std::string& service,
                                 const catalog::call_profile& profile) const
{
    const auto targets = static_cast<duration::rep>(
        std::max<std::size_t>(1, m_context.directory.serving(service).size()));
    const duration declared =
        (profile.time_per_call / profile.max_pieces + profile.time_per_piece) /
        targets;
    return std::min(time_per_piece(service, declared),
                    std::max(declared, profile.time_per_call));
}

// An entry of the version before does not know the status; to it the job has
// expired.
void piece_batcher::end_rejected_jobs(const std::string& service,
                                      service_queue& queue)
{
    for (const auto& [job, retry_in] :
         queue.planner.take_rejected(m_context.now(), m_estimates))
    {
        const auto status = job.accepts_rejection
                                ? decision::job_status::rejected
                                : decision::job_status::expired;
        end_job(service, queue, job.number, {status, {}, false, retry_in});
    }
}

// Returns the counts of each rank as text for the log, account rank first.
std::string piece_batcher::count_admission(const std::string& service,
                                           service_queue& queue)
{
    std::string text;
    for (const auto& [rank, counts] : queue.planner.take_admission_counts())
    {
        const std::string name = std::to_string(rank.account_rank) + "." +
                                 std::to_string(rank.route_rank);
        const std::string labels = runtime::label("service", service) + "," +
                                   runtime::label("rank", name);
        text += (text.empty() ? "" : ", ") + name;
        const auto add = [&](const std::string& what, std::uint64_t count)
        {
            m_context.metrics.count({"jobs_" + what, labels}) += count;
            text += " " + what + " " + std::to_string(count);
        };
        add("started", counts.started);
        add("late", counts.late);
        add("rejected", counts.rejected);
        add("returned", counts.returned);
    }
    return text;
}

} // namespace mangofold::serving
