#include "serving/job_router.hpp"

#include "runtime/event.hpp"

#include <utility>

namespace mangofold::serving
{

job_router::job_router(entry_context& context, piece_batcher& batcher,
                       peer_mesh& mesh)
    : m_context(context), m_batcher(batcher), m_mesh(mesh)
{
    m_mesh.set_job_sink(
        [this](std::vector<routed_job> jobs)
        {
            m_context.metrics.count({"jobs_taken_back", ""}) += jobs.size();
            for (routed_job& job : jobs)
                execute(job.service, std::move(job.job),
                        std::move(job.pending));
        });
}

awaitable<void> job_router::run()
{
    // A tenth of a call's fixed time.
    constexpr duration tick = std::chrono::milliseconds(20);
    loop_timer timer(m_context.loop);
    while (!m_mesh.is_settled())
    {
        error_code ignored; // No other code cancels this timer.
        timer.expires_after(tick);
        co_await timer.async_wait(store_error_in(ignored));
    }
    m_has_settled = true;
    submit_held_jobs();
}

void job_router::submit_held_jobs()
{
    if (m_held_jobs.empty())
        return;
    runtime::event("stages_begin").with("jobs", m_held_jobs.size()).info();
    for (routed_job& job : std::exchange(m_held_jobs, {}))
        if (!job.pending->is_cancelled())
            execute(job.service, std::move(job.job), std::move(job.pending));
}

void job_router::execute(const std::string& service, decision::stage_job job,
                         pending_job_ptr pending)
{
    if (!m_has_settled)
        m_held_jobs.push_back({service, std::move(job), std::move(pending)});
    else if (peer_link* link = m_mesh.batching_peer(service))
        link->submit(service, std::move(job), std::move(pending));
    else
        execute_locally(service, std::move(job), std::move(pending));
}

void job_router::execute_locally(const std::string& service,
                                 decision::stage_job job,
                                 pending_job_ptr pending)
{
    m_batcher.add(
        service, std::move(job),
        [pending](job_outcome outcome)
        {
            const bool is_wanted = !pending->is_cancelled();
            pending->set_outcome(std::move(outcome));
            return is_wanted;
        },
        [pending] { return !pending->is_cancelled(); },
        [pending] { pending->set_inputs_fetched(); });
}

void job_router::release(const std::string& service,
                         std::vector<std::string> handles)
{
    if (peer_link* link = m_mesh.batching_peer(service))
        link->release(service, handles);
    else
        m_batcher.release(service, handles);
}

} // namespace mangofold::serving
