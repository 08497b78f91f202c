#pragma once

#include "runtime/clock.hpp"

#include <boost/asio/basic_waitable_timer.hpp>

#include <algorithm>

namespace mangofold::serving
{

/// The clock of every timer of a process: the injected one, so that tests
/// pause and advance timers too, and so that timers count the time in which
/// the machine was suspended.
struct loop_clock
{
    using duration = decision::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = decision::instant;
    static constexpr bool is_steady = true;

    static time_point now() { return source().now(); }

    /// Sets the clock to ask; it must outlive all timers. Where
    /// \a is_paused, it is looked at again every millisecond.
    static void set_source(const runtime::clock& time, bool is_paused);

    static const runtime::clock& source();
    static bool is_paused();
};

/// Tells the loop how long to wait in real time.
struct loop_wait_traits
{
    static loop_clock::duration to_wait_duration(loop_clock::duration left)
    {
        constexpr loop_clock::duration look_again =
            std::chrono::milliseconds(1);
        // A wait below the kernel's resolution would end before its time and
        // begin again, without pause.
        constexpr loop_clock::duration least = std::chrono::microseconds(100);
        if (left <= loop_clock::duration::zero())
            return left;
        return std::max(
            loop_clock::is_paused() ? std::min(left, look_again) : left, least);
    }

    static loop_clock::duration to_wait_duration(loop_clock::time_point then)
    {
        return to_wait_duration(then - loop_clock::now());
    }
};

using loop_timer =
    boost::asio::basic_waitable_timer<loop_clock, loop_wait_traits>;

} // namespace mangofold::serving
