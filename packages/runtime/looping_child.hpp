#pragma once

#include "runtime/child.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace mangofold::runtime
{

/// A child that calls one function repeatedly on a thread of its own. An
/// exception thrown by the function ends the thread and makes the child failed,
/// so that the supervisor restarts it.
class looping_child : public child
{
public:
    /// \a step is the function; it returns the pause before its next call.
    looping_child(std::string name,
                  std::function<std::chrono::milliseconds()> step);
    ~looping_child() override;

    const std::string& name() const override { return m_name; }
    void start() override;
    void stop() noexcept override;
    bool has_failed() const override { return m_has_failed; }

private:
    void run();

    std::string m_name;
    std::function<std::chrono::milliseconds()> m_step;
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_stop_requested;
    bool m_is_stopping = false;
    std::atomic<bool> m_has_failed{false};
};

} // namespace mangofold::runtime
