#include "runtime/signals.hpp"

#include <array>
#include <csignal>
#include <ctime>

namespace mangofold::runtime
{

namespace
{

constexpr std::array held_signals{SIGHUP, SIGTERM, SIGINT};
constexpr std::array ignored_signals{SIGPIPE, SIGUSR1, SIGUSR2};

sigset_t held_set() noexcept
{
    sigset_t set;
    sigemptyset(&set);
    for (const int number : held_signals)
        sigaddset(&set, number);
    return set;
}

} // namespace

// The kernel keeps a blocked signal until it is unblocked. Ignored until its
// handler stands, it would be lost; a handler that records it would be replaced
// by the default action when a signal_set is destroyed.
void hold_signals() noexcept
{
    const sigset_t held = held_set();
    pthread_sigmask(SIG_BLOCK, &held, nullptr);
    // A signal that the parent process ignores would be lost although blocked.
    for (const int number : held_signals)
        std::signal(number, SIG_DFL);
    for (const int number : ignored_signals)
        std::signal(number, SIG_IGN);
}

bool is_stop_pending() noexcept
{
    sigset_t pending;
    sigemptyset(&pending);
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 ||
           sigismember(&pending, SIGINT) == 1;
}

std::optional<int> take_signal(std::chrono::milliseconds timeout) noexcept
{
    const sigset_t held = held_set();
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(timeout);
    const timespec time{seconds.count(),
                        std::chrono::nanoseconds(timeout - seconds).count()};
    const int number = sigtimedwait(&held, nullptr, &time);
    return number > 0 ? std::optional(number) : std::nullopt;
}

signal_delivery::signal_delivery() noexcept
{
    const sigset_t held = held_set();
    pthread_sigmask(SIG_UNBLOCK, &held, nullptr);
}

signal_delivery::~signal_delivery()
{
    const sigset_t held = held_set();
    pthread_sigmask(SIG_BLOCK, &held, nullptr);
}

} // namespace mangofold::runtime
