#include "runtime/looping_child.hpp"

#include "runtime/event.hpp"

#include <exception>

namespace mangofold::runtime
{

looping_child::looping_child(std::string name,
                             std::function<std::chrono::milliseconds()> step)
    : m_name(std::move(name)), m_step(std::move(step))
{
}

looping_child::~looping_child()
{
    looping_child::stop();
}

void looping_child::start()
{
    m_has_failed = false;
    m_is_stopping = false;
    m_thread = std::thread([this] { run(); });
}

void looping_child::stop() noexcept
{
    {
        const std::lock_guard lock(m_mutex);
        m_is_stopping = true;
    }
    m_stop_requested.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void looping_child::run()
{
    try
    {
        std::unique_lock lock(m_mutex);
        while (!m_is_stopping)
        {
            lock.unlock();
            const auto pause = m_step();
            lock.lock();
            m_stop_requested.wait_for(lock, pause,
                                      [this] { return m_is_stopping; });
        }
    }
    catch (const std::exception& error)
    {
        event("child_threw")
            .with("child", m_name)
            .with("fault", error.what())
            .error();
        m_has_failed = true;
    }
}

} // namespace mangofold::runtime
