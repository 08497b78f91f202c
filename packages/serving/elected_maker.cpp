#include "serving/elected_maker.hpp"

#include "runtime/event.hpp"

#include <utility>

namespace mangofold::serving
{

elected_maker::elected_maker(entry_context& context, gatherer& own,
                             peer_mesh& others)
    : m_context(context), m_own(own), m_others(others)
{
    m_others.set_work_sink(
        [this](std::vector<orphaned_job> jobs)
        {
            m_context.metrics.count({"jobs_taken_back", ""}) += jobs.size();
            for (orphaned_job& one : jobs)
                make(one.service, std::move(one.job), std::move(one.wait));
        });
}

awaitable<void> elected_maker::run()
{
    // A tenth of a call's fixed time.
    constexpr duration tick = std::chrono::milliseconds(20);
    loop_timer timer(m_context.loop);
    while (!m_others.is_settled())
    {
        error_code ignored; // Nobody cancels it.
        timer.expires_after(tick);
        co_await timer.async_wait(store_error_in(ignored));
    }
    m_is_open = true;
    hand_out();
}

void elected_maker::hand_out()
{
    if (m_kept_back.empty())
        return;
    runtime::event("stages_begin").with("jobs", m_kept_back.size()).info();
    for (orphaned_job& one : std::exchange(m_kept_back, {}))
        if (!one.wait->is_dropped())
            make(one.service, std::move(one.job), std::move(one.wait));
}

void elected_maker::make(const std::string& service, decision::stage_job job,
                         piece_wait_ptr wait)
{
    if (!m_is_open)
        m_kept_back.push_back({service, std::move(job), std::move(wait)});
    else if (peer_link* other = m_others.gathering(service))
        other->ask(service, std::move(job), std::move(wait));
    else
        make_here(service, std::move(job), std::move(wait));
}

void elected_maker::make_here(const std::string& service,
                              decision::stage_job job, piece_wait_ptr wait)
{
    m_own.add(
        service, std::move(job),
        [wait](piece_outcome value)
        {
            const bool is_wanted = !wait->is_dropped();
            wait->set_outcome(std::move(value));
            return is_wanted;
        },
        [wait] { return !wait->is_dropped(); },
        [wait] { wait->set_fetched(); });
}

void elected_maker::release(const std::string& service,
                            std::vector<std::string> handles)
{
    if (peer_link* other = m_others.gathering(service))
        other->release(service, handles);
    else
        m_own.release(service, handles);
}

} // namespace mangofold::serving
