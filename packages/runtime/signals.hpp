#pragma once

#include <chrono>
#include <optional>

namespace mangofold::runtime
{

/// Holds back SIGHUP, SIGTERM and SIGINT on this thread and those that it
/// starts, and ignores SIGPIPE, SIGUSR1 and SIGUSR2. Programs that link
/// mangofold_early_signals call it before any other code.
void hold_signals() noexcept;

/// Returns whether SIGTERM or SIGINT is held back.
bool is_stop_pending() noexcept;

/// Waits until one of the signals that are held back arrives, and returns it,
/// or nothing after \a timeout.
std::optional<int> take_signal(std::chrono::milliseconds timeout) noexcept;

/// Lets this thread receive the signals that are held back, also those that
/// have come before, as long as it exists. It must be destroyed before their
/// handlers.
class signal_delivery
{
public:
    signal_delivery() noexcept;
    ~signal_delivery();
    signal_delivery(const signal_delivery&) = delete;
    signal_delivery& operator=(const signal_delivery&) = delete;
};

} // namespace mangofold::runtime
