#pragma once

#include "serving/asio.hpp"

namespace mangofold::serving
{

/// An auto-reset event for a single waiting coroutine, with a timeout. An event
/// that is set while no coroutine waits ends the next wait at once.
class auto_reset_event
{
public:
    explicit auto_reset_event(asio::io_context& loop) : m_timer(loop) {}

    /// Ends the current or the next wait.
    void set()
    {
        m_is_set = true;
        m_timer.cancel();
    }

    /// Waits until the event is set or \a timeout has passed, and resets it.
    /// Returns whether it was set.
    awaitable<bool> wait(duration timeout);

private:
    loop_timer m_timer;
    bool m_is_set = false;
};

inline awaitable<bool> auto_reset_event::wait(duration timeout)
{
    if (!m_is_set && timeout > duration::zero())
    {
        error_code ignored; // set() cancels the timer, which is not an error.
        m_timer.expires_after(timeout);
        co_await m_timer.async_wait(store_error_in(ignored));
    }
    co_return std::exchange(m_is_set, false);
}

} // namespace mangofold::serving
