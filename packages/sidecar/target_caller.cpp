#include "sidecar/target_caller.hpp"

#include "runtime/http_client.hpp"
#include "sidecar/target_message.hpp"

namespace mangofold::sidecar
{

using namespace decision;

target_caller::target_caller(runtime::address target, unsigned threads,
                             admission_controller& admission,
                             const runtime::clock& clock,
                             runtime::metrics& counters)
    : m_target(std::move(target)), m_thread_count(threads),
      m_admission(admission), m_clock(clock), m_metrics(counters)
{
}

target_caller::~target_caller()
{
    target_caller::stop();
}

void target_caller::start()
{
    m_is_stopping = false;
    for (unsigned index = 0; index < m_thread_count; ++index)
        m_threads.emplace_back([this] { run_worker(); });
}

void target_caller::stop() noexcept
{
    {
        const std::lock_guard lock(m_mutex);
        m_is_stopping = true;
    }
    m_jobs_changed.notify_all();
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

void target_caller::start(const start_run& run)
{
    const std::lock_guard lock(m_mutex);
    m_cancel_bodies[run.run] = cancel_message(run);
    m_jobs.push_back(queued_run{run, m_clock.now() + run.budget});
    m_jobs_changed.notify_one();
}

void target_caller::cancel(run_id run)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_cancel_bodies.find(run);
    if (found == m_cancel_bodies.end())
        return;
    m_jobs.push_front(cancel_call{found->second});
    m_jobs_changed.notify_one();
}

void target_caller::run_worker()
{
    runtime::http_client keep_alive_client(m_target);
    std::unique_lock lock(m_mutex);
    while (true)
    {
        m_jobs_changed.wait(lock, [this]
                            { return m_is_stopping || !m_jobs.empty(); });
        if (m_jobs.empty())
            return;
        const job next_job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        execute(next_job, keep_alive_client);
        lock.lock();
    }
}

void target_caller::execute(const job& next_job,
                            runtime::http_client& keep_alive_client)
{
    if (const auto* cancelled = std::get_if<cancel_call>(&next_job))
    {
        constexpr duration cancel_timeout = std::chrono::milliseconds(200);
        try
        {
            runtime::http_client(m_target).post("/v1/cancel", cancelled->body,
                                                cancel_timeout);
        }
        catch (const runtime::http_error&)
        {
            ++m_metrics.count({"mangofold_cancels_unanswered_total", ""});
        }
        return;
    }
    const auto& queued = std::get<queued_run>(next_job);
    const stage_result result = call_target(queued, keep_alive_client);
    {
        const std::lock_guard lock(m_mutex);
        m_cancel_bodies.erase(queued.run.run);
    }
    m_metrics.observe({"mangofold_target_seconds",
                       runtime::label("stage", queued.run.key.stage)},
                      result.service_time);
    m_admission.finish(queued.run.run, result);
}

stage_result target_caller::call_target(const queued_run& queued,
                                        runtime::http_client& keep_alive_client)
{
    const instant now = m_clock.now();
    if (now >= queued.expires)
        return refused(reason::too_late);
    const duration time_left = queued.expires - now;
    if (queued.run.is_repeatable)
        return post(keep_alive_client, queued.run, time_left);
    // A target can close an idle keep-alive connection just as a call is sent;
    // it is then unknown whether the call ran. A new connection avoids this.
    runtime::http_client new_client(m_target);
    return post(new_client, queued.run, time_left);
}

stage_result target_caller::post(runtime::http_client& client,
                                 const start_run& run, duration time_left)
{
    const instant started_at = m_clock.now();
    stage_result result;
    try
    {
        const runtime::http_response answer =
            client.post("/v1/run", run_message(run), time_left);
        result = read_answer(run, answer);
    }
    catch (const runtime::http_error& error)
    {
        using kind = runtime::http_error::kind;
        const bool is_timeout = m_clock.now() >= started_at + time_left;
        if (error.error_kind() == kind::not_connected)
            result = refused(reason::target_down);
        else
            result = unknown_outcome(is_timeout ? reason::target_timeout
                                                : reason::target_failed);
        // A target that sends bytes without meaning has not crashed.
        if (result.cause == reason::target_failed &&
            error.error_kind() != kind::invalid_answer)
            m_admission.record_target_crash(run, started_at);
    }
    result.service_time = m_clock.now() - started_at;
    return result;
}

} // namespace mangofold::sidecar
