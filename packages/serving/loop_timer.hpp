#pragma once

#include "runtime/clock.hpp"

#include <boost/asio/basic_waitable_timer.hpp>

#include <algorithm>

namespace mangofold::serving
{

/// The clock of all timers of a process. It forwards to an injected clock, so
/// that tests can pause and advance timers, and so that timers count the time
/// during which the machine was suspended.
struct loop_clock
{
    using duration = decision::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = decision::instant;
    static constexpr bool is_steady = true;

    static time_point now() { return source().now(); }

    /// Sets the clock to read, which must outlive all timers. If \a is_paused,
    /// tests advance the clock, so waiting timers poll it every millisecond.
    static void set_source(const runtime::clock& time, bool is_paused);

    static const runtime::clock& source();
    static bool is_paused();
};

/// Converts a timer's remaining time on the injected clock to the time for
/// which the event loop waits.
struct loop_wait_traits
{
    static loop_clock::duration to_wait_duration(loop_clock::duration left)
    {
        constexpr loop_clock::duration poll_interval =
            std::chrono::milliseconds(1);
        // A wait below the kernel's timer resolution would return early and be
        // repeated in a busy loop.
        constexpr loop_clock::duration min_wait =
            std::chrono::microseconds(100);
        if (left <= loop_clock::duration::zero())
            return left;
        return std::max(loop_clock::is_paused() ? std::min(left, poll_interval)
                                                : left,
                        min_wait);
    }

    static loop_clock::duration to_wait_duration(loop_clock::time_point expiry)
    {
        return to_wait_duration(expiry - loop_clock::now());
    }
};

using loop_timer =
    boost::asio::basic_waitable_timer<loop_clock, loop_wait_traits>;

} // namespace mangofold::serving
