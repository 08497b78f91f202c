#pragma once

#include "serving/asio.hpp"

namespace mangofold::serving
{

/// An auto-reset event for a single waiting coroutine, with a timeout. An event
/// that is raised while no coroutine waits ends the next wait at once.
class signal_point
{
public:
    explicit signal_point(asio::io_context& loop) : m_timer(loop) {}

    /// Ends the current or the next wait.
    void raise()
    {
        m_is_raised = true;
        m_timer.cancel();
    }

    /// Waits until the event is raised or \a timeout has passed, and resets it.
    /// Returns whether it was raised.
    awaitable<bool> wait(duration timeout);

private:
    loop_timer m_timer;
    bool m_is_raised = false;
};

inline awaitable<bool> signal_point::wait(duration timeout)
{
    if (!m_is_raised && timeout > duration::zero())
    {
        error_code ignored; // raise() cancels the timer, which is not an error.
        m_timer.expires_after(timeout);
        co_await m_timer.async_wait(into(ignored));
    }
    co_return std::exchange(m_is_raised, false);
}

} // namespace mangofold::serving
