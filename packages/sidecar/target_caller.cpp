#include "sidecar/target_caller.hpp"

#include "runtime/http_client.hpp"
#include "sidecar/target_message.hpp"

namespace mangofold::sidecar
{

using namespace decision;

target_caller::target_caller(runtime::address target, unsigned threads,
                             gate_keeper& keeper, const runtime::clock& time,
                             runtime::metrics& counters)
    : m_target(std::move(target)), m_thread_count(threads), m_keeper(keeper),
      m_clock(time), m_metrics(counters)
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
        m_threads.emplace_back([this] { work(); });
}

void target_caller::stop() noexcept
{
    {
        const std::lock_guard lock(m_mutex);
        m_is_stopping = true;
    }
    m_changed.notify_all();
    for (std::thread& one : m_threads)
        one.join();
    m_threads.clear();
}

void target_caller::start(const start_run& run)
{
    const std::lock_guard lock(m_mutex);
    m_cancel_bodies[run.run] = cancel_message(run);
    m_jobs.push_back(timed_run{run, m_clock.now() + run.budget});
    m_changed.notify_one();
}

void target_caller::cancel(run_id run)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_cancel_bodies.find(run);
    if (found == m_cancel_bodies.end())
        return;
    m_jobs.push_front(cancel_call{found->second});
    m_changed.notify_one();
}

void target_caller::work()
{
    runtime::http_client kept(m_target);
    std::unique_lock lock(m_mutex);
    while (true)
    {
        m_changed.wait(lock,
                       [this] { return m_is_stopping || !m_jobs.empty(); });
        if (m_jobs.empty())
            return;
        const job next = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        carry_out(next, kept);
        lock.lock();
    }
}

void target_caller::carry_out(const job& next, runtime::http_client& kept)
{
    if (const auto* withdrawn = std::get_if<cancel_call>(&next))
    {
        constexpr duration cancel_timeout = std::chrono::milliseconds(200);
        try
        {
            runtime::http_client(m_target).post("/v1/cancel", withdrawn->body,
                                                cancel_timeout);
        }
        catch (const runtime::http_error&)
        {
            ++m_metrics.count({"mangofold_cancels_unanswered_total", ""});
        }
        return;
    }
    const auto& timed = std::get<timed_run>(next);
    const stage_result result = call(timed, kept);
    {
        const std::lock_guard lock(m_mutex);
        m_cancel_bodies.erase(timed.run.run);
    }
    m_metrics.observe({"mangofold_target_seconds",
                       runtime::label("stage", timed.run.key.stage)},
                      result.service_time);
    m_keeper.finish(timed.run.run, result);
}

stage_result target_caller::call(const timed_run& next,
                                 runtime::http_client& kept)
{
    const instant now = m_clock.now();
    if (now >= next.expires)
        return refused(reason::too_late);
    const duration left = next.expires - now;
    if (next.run.is_repeatable)
        return post(kept, next.run, left);
    // A target can close a kept connection just as a call is sent, and nobody
    // knows then whether it ran. Not so with one that was made for it.
    runtime::http_client fresh(m_target);
    return post(fresh, next.run, left);
}

stage_result target_caller::post(runtime::http_client& client,
                                 const start_run& run, duration left)
{
    const instant begun = m_clock.now();
    stage_result result;
    try
    {
        const runtime::http_answer answer =
            client.post("/v1/run", run_message(run), left);
        result = read_answer(run, answer);
    }
    catch (const runtime::http_error& fault)
    {
        const bool is_timeout = m_clock.now() >= begun + left;
        if (fault.what_failed() == runtime::http_error::kind::not_connected)
            result = refused(reason::target_down);
        else
            result = unknown_outcome(is_timeout ? reason::target_timeout
                                                : reason::target_failed);
        if (result.cause == reason::target_failed)
            m_keeper.note_target_lost(run, begun);
    }
    result.service_time = m_clock.now() - begun;
    return result;
}

} // namespace mangofold::sidecar
