#pragma once

#include "decision/time.hpp"
#include "serving/loop_timer.hpp"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <exception>
#include <optional>

namespace mangofold::serving
{

namespace asio = boost::asio;
using asio::awaitable;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using decision::duration;
using decision::instant;

/// Returns a completion token that stores an error in \a fault instead of
/// throwing it.
inline auto store_error_in(error_code& fault)
{
    return asio::redirect_error(asio::use_awaitable, fault);
}

/// Logs the exception that ended a detached coroutine.
void log_failure(const std::exception_ptr& fault);

/// Starts \a work as a detached coroutine and logs the exception that ends
/// it, if any.
template<typename Awaitable>
void spawn(asio::io_context& loop, Awaitable&& work)
{
    asio::co_spawn(loop, std::forward<Awaitable>(work),
                   [](const std::exception_ptr& fault)
                   {
                       if (fault)
                           log_failure(fault);
                   });
}

/// Returns the time left from \a now until \a deadline, never negative.
inline duration time_until(instant deadline, instant now)
{
    return std::max(deadline - now, duration::zero());
}

/// Returns \a time in whole milliseconds, for logs; 0 if it is negative.
inline std::uint64_t whole_milliseconds(duration time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::max(time, duration::zero()))
            .count());
}

} // namespace mangofold::serving
