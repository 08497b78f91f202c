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

/// A child that does one step again and again on a thread of its own. A step
/// that throws ends the child, which counts as failed.
class looping_child : public child
{
public:
    /// \a step returns how long to wait before the next step.
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
    std::condition_variable m_stopping;
    bool m_is_stopping = false;
    std::atomic<bool> m_has_failed{false};
};

} // namespace mangofold::runtime
