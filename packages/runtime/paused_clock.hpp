#pragma once

#include "runtime/clock.hpp"

#include <atomic>

namespace mangofold::runtime
{

/// A clock for tests, whose time changes only by advance() and set_tick().
class paused_clock : public clock
{
public:
    decision::instant now() const override
    {
        return decision::instant(
            decision::duration(m_since_start += m_tick.load()));
    }

    void advance(decision::duration by) { m_since_start += by.count(); }

    /// Makes the time advance by \a tick at each call of now(), too, as a real
    /// clock does between two calls.
    void set_tick(decision::duration tick) { m_tick = tick.count(); }

private:
    mutable std::atomic<decision::duration::rep> m_since_start{1};
    std::atomic<decision::duration::rep> m_tick{0};
};

} // namespace mangofold::runtime
