#pragma once

#include "runtime/clock.hpp"

#include <atomic>

namespace mangofold::runtime
{

/// A clock for tests, whose time changes only by advance().
class paused_clock : public clock
{
public:
    decision::instant now() const override
    {
        return decision::instant(decision::duration(m_since_start.load()));
    }

    void advance(decision::duration by) { m_since_start += by.count(); }

private:
    std::atomic<decision::duration::rep> m_since_start{1};
};

} // namespace mangofold::runtime
