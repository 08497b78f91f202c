#include "runtime/supervisor.hpp"

#include "runtime/event.hpp"

#include <exception>

namespace mangofold::runtime
{

namespace
{

constexpr decision::duration first_wait = std::chrono::milliseconds(50);
constexpr decision::duration longest_wait = std::chrono::seconds(5);
constexpr decision::duration stable_after = std::chrono::seconds(30);

} // namespace

supervisor::supervisor(std::string name, const clock& time)
    : m_name(std::move(name)), m_clock(time)
{
}

void supervisor::add(std::unique_ptr<child> one)
{
    auto* nested = dynamic_cast<supervisor*>(one.get());
    m_slots.push_back(
        {std::move(one), nested, decision::backoff(first_wait, longest_wait)});
}

void supervisor::start()
{
    for (slot& one : m_slots)
    {
        one.part->start();
        one.is_running = true;
        one.started_at = m_clock.now();
    }
}

void supervisor::stop() noexcept
{
    for (auto one = m_slots.rbegin(); one != m_slots.rend(); ++one)
    {
        if (one->is_running)
            one->part->stop();
        one->is_running = false;
    }
}

void supervisor::check()
{
    for (slot& one : m_slots)
    {
        if (one.nested != nullptr)
            one.nested->check();
        if (one.is_running && one.part->has_failed())
            note_failure(one);
        else if (!one.is_running && one.restart_at <= m_clock.now())
            restart(one);
    }
}

void supervisor::note_failure(slot& one)
{
    event("child_failed").with("child", one.part->name()).warn();
    one.part->stop();
    one.is_running = false;
    if (one.started_at + stable_after <= m_clock.now())
        one.wait.reset();
    one.restart_at = m_clock.now() + one.wait.next(m_random);
}

void supervisor::restart(slot& one)
{
    ++m_restarts;
    try
    {
        one.part->start();
        one.is_running = true;
        one.started_at = m_clock.now();
        event("child_restarted").with("child", one.part->name()).info();
    }
    catch (const std::exception& fault)
    {
        event("child_not_started")
            .with("child", one.part->name())
            .with("fault", fault.what())
            .warn();
        one.restart_at = m_clock.now() + one.wait.next(m_random);
    }
}

} // namespace mangofold::runtime
