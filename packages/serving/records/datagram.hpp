#pragma once

#include "serving/asio.hpp"

#include <cstddef>

namespace mangofold::serving
{

/// Longest datagram that is read. Those that entries and record keepers send
/// are shorter than a packet, but for the versions of a great many services.
constexpr std::size_t max_datagram_bytes = 65'507;

/// Waits before the next attempt to receive: an error may persist.
inline awaitable<void> pause_after_error(asio::io_context& loop)
{
    loop_timer timer(loop);
    error_code ignored; // The timer is never cancelled.
    timer.expires_after(std::chrono::milliseconds(100));
    co_await timer.async_wait(store_error_in(ignored));
}

} // namespace mangofold::serving
