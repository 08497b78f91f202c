#include "serving/elected_maker.hpp"

#include "runtime/event.hpp"

#include <utility>

namespace mangofold::serving
{

elected_maker::elected_maker(entry_context& context, gatherer& batcher,
                             peer_mesh& mesh)
    : m_context(context), m_batcher(batcher), m_mesh(mesh)
{
    m_mesh.set_work_sink(
        [this](std::vector<orphaned_job> jobs)
        {
            m_context.metrics.count({"jobs_taken_back", ""}) += jobs.size();
            for (orphaned_job& job : jobs)
                make(job.service, std::move(job.job), std::move(job.pending));
        });
}

awaitable<void> elected_maker::run()
{
    // A tenth of a call's fixed time.
    constexpr duration tick = std::chrono::milliseconds(20);
    loop_timer timer(m_context.loop);
    while (!m_mesh.is_settled())
    {
        error_code ignored; // No other code cancels this timer.
        timer.expires_after(tick);
        co_await timer.async_wait(into(ignored));
    }
    m_has_settled = true;
    submit_held_jobs();
}

void elected_maker::submit_held_jobs()
{
    if (m_held_jobs.empty())
        return;
    runtime::event("stages_begin").with("jobs", m_held_jobs.size()).info();
    for (orphaned_job& job : std::exchange(m_held_jobs, {}))
        if (!job.pending->is_dropped())
            make(job.service, std::move(job.job), std::move(job.pending));
}

void elected_maker::make(const std::string& service, decision::stage_job job,
                         piece_wait_ptr pending)
{
    if (!m_has_settled)
        m_held_jobs.push_back({service, std::move(job), std::move(pending)});
    else if (peer_link* link = m_mesh.gathering(service))
        link->ask(service, std::move(job), std::move(pending));
    else
        execute_locally(service, std::move(job), std::move(pending));
}

void elected_maker::execute_locally(const std::string& service,
                                    decision::stage_job job,
                                    piece_wait_ptr pending)
{
    m_batcher.add(
        service, std::move(job),
        [pending](piece_outcome outcome)
        {
            const bool is_wanted = !pending->is_dropped();
            pending->set_outcome(std::move(outcome));
            return is_wanted;
        },
        [pending] { return !pending->is_dropped(); },
        [pending] { pending->set_fetched(); });
}

void elected_maker::release(const std::string& service,
                            std::vector<std::string> handles)
{
    if (peer_link* link = m_mesh.gathering(service))
        link->release(service, handles);
    else
        m_batcher.release(service, handles);
}

} // namespace mangofold::serving
