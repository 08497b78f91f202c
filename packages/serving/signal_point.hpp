#pragma once

#include "serving/asio.hpp"

namespace mangofold::serving
{

/// Lets one coroutine wait until something is raised, or time is up. What is
/// raised while nobody waits is kept for the next wait.
class signal_point
{
public:
    explicit signal_point(asio::io_context& loop) : m_timer(loop) {}

    void raise()
    {
        m_is_raised = true;
        m_timer.cancel();
    }

    /// Waits for at most \a most. Returns whether it was raised.
    awaitable<bool> wait(duration most);

private:
    loop_timer m_timer;
    bool m_is_raised = false;
};

inline awaitable<bool> signal_point::wait(duration most)
{
    if (!m_is_raised && most > duration::zero())
    {
        error_code ignored; // Cancelled by raise(), which is no error here.
        m_timer.expires_after(most);
        co_await m_timer.async_wait(store_error_in(ignored));
    }
    co_return std::exchange(m_is_raised, false);
}

} // namespace mangofold::serving
