#include "runtime/supervisor.hpp"

#include "runtime/event.hpp"

#include <exception>

namespace mangofold::runtime
{

namespace
{

constexpr decision::duration initial_delay = std::chrono::milliseconds(50);
constexpr decision::duration max_delay = std::chrono::seconds(5);
/// A child that ran for this time before its failure is restarted after the
/// initial delay again.
constexpr decision::duration stable_run_time = std::chrono::seconds(30);

} // namespace

supervisor::supervisor(std::string name, const clock& time)
    : m_name(std::move(name)), m_clock(time)
{
}

void supervisor::add(std::unique_ptr<child> added)
{
    auto* nested = dynamic_cast<supervisor*>(added.get());
    m_children.push_back({std::move(added), nested,
                          decision::backoff(initial_delay, max_delay)});
}

void supervisor::start()
{
    for (supervised_child& current : m_children)
    {
        current.component->start();
        current.is_running = true;
        current.started_at = m_clock.now();
    }
}

void supervisor::stop() noexcept
{
    for (auto entry = m_children.rbegin(); entry != m_children.rend(); ++entry)
    {
        if (entry->is_running)
            entry->component->stop();
        entry->is_running = false;
    }
}

void supervisor::check()
{
    for (supervised_child& current : m_children)
    {
        if (current.nested != nullptr)
            current.nested->check();
        if (current.is_running && current.component->has_failed())
            handle_failure(current);
        else if (!current.is_running && current.restart_at <= m_clock.now())
            restart(current);
    }
}

void supervisor::handle_failure(supervised_child& failed)
{
    event("child_failed").with("child", failed.component->name()).warn();
    failed.component->stop();
    failed.is_running = false;
    if (failed.started_at + stable_run_time <= m_clock.now())
        failed.restart_backoff.reset();
    failed.restart_at = m_clock.now() + failed.restart_backoff.next(m_random);
}

void supervisor::restart(supervised_child& failed)
{
    ++m_restarts;
    try
    {
        failed.component->start();
        failed.is_running = true;
        failed.started_at = m_clock.now();
        event("child_restarted").with("child", failed.component->name()).info();
    }
    catch (const std::exception& error)
    {
        event("child_not_started")
            .with("child", failed.component->name())
            .with("fault", error.what())
            .warn();
        failed.restart_at =
            m_clock.now() + failed.restart_backoff.next(m_random);
    }
}

} // namespace mangofold::runtime
