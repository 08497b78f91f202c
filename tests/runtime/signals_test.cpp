#include "runtime/signals.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

#include <unistd.h>

using namespace mangofold::runtime;
using namespace std::chrono_literals;

namespace
{

volatile std::sig_atomic_t received = 0;

/// Restores what a test changes for the whole process.
struct signal_state
{
    signal_state()
    {
        received = 0;
        pthread_sigmask(SIG_BLOCK, nullptr, &mask);
    }
    ~signal_state()
    {
        while (take_signal(0ms))
        {
        }
        for (const int number :
             {SIGHUP, SIGTERM, SIGINT, SIGPIPE, SIGUSR1, SIGUSR2})
            std::signal(number, SIG_DFL);
        pthread_sigmask(SIG_SETMASK, &mask, nullptr);
    }

    sigset_t mask{};
};

} // namespace

// Guards against signals that are lost, or end the process, before their
// handlers stand.
TEST_CASE("a signal before its handler is delivered once there is one")
{
    const signal_state state;
    std::signal(SIGHUP, SIG_IGN); // As under nohup.
    hold_signals();
    kill(getpid(), SIGHUP);
    std::signal(SIGHUP, [](int) { received = received + 1; });
    CHECK(received == 0);
    const signal_delivery delivery;
    CHECK(received == 1);
}

// Guards against signals that end the process after their handlers are gone.
TEST_CASE("a signal after the delivery has ended is held back again")
{
    const signal_state state;
    hold_signals();
    {
        const signal_delivery delivery;
    }
    kill(getpid(), SIGHUP);
    CHECK_FALSE(is_stop_pending());
    kill(getpid(), SIGTERM);
    CHECK(is_stop_pending());
    CHECK(take_signal(0ms) == SIGHUP);
    CHECK(take_signal(0ms) == SIGTERM);
    CHECK(take_signal(1ms) == std::nullopt);
}

// Guards against log rotation, or a reader of the log that goes, ending the
// process.
TEST_CASE("signals of operators' tools and closed pipes are ignored")
{
    const signal_state state;
    hold_signals();
    for (const int number : {SIGPIPE, SIGUSR1, SIGUSR2})
        CHECK(kill(getpid(), number) == 0);
}

// Guards against a signal that interrupts a thread which does not expect it.
TEST_CASE("threads started meanwhile leave signals to the one that takes them")
{
    const signal_state state;
    hold_signals();
    std::thread worker([] { std::this_thread::sleep_for(20ms); });
    kill(getpid(), SIGINT);
    CHECK(take_signal(1s) == SIGINT);
    worker.join();
}
