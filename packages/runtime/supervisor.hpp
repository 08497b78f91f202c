#pragma once

#include "decision/backoff.hpp"
#include "runtime/child.hpp"
#include "runtime/clock.hpp"

#include <memory>
#include <string>
#include <vector>

namespace mangofold::runtime
{

/// Starts its children in order, restarts those that fail after a growing
/// wait, and stops them in reverse order. A supervisor is a child itself, so
/// that supervisors form a tree.
class supervisor : public child
{
public:
    supervisor(std::string name, const clock& time);

    /// Adds a child, to be started after those added before it.
    void add(std::unique_ptr<child> one);

    const std::string& name() const override { return m_name; }
    void start() override;
    void stop() noexcept override;
    bool has_failed() const override { return false; }

    /// Restarts the failed children whose wait is over. To be called often.
    void check();

    /// Returns how often children were restarted.
    std::size_t restarts() const { return m_restarts; }

private:
    struct slot
    {
        std::unique_ptr<child> part;
        supervisor* nested;
        decision::backoff wait;
        bool is_running = false;
        decision::instant restart_at{};
        decision::instant started_at{};
    };

    void note_failure(slot& one);
    void restart(slot& one);

    std::string m_name;
    const clock& m_clock;
    decision::random_source m_random{1};
    std::vector<slot> m_slots;
    std::size_t m_restarts = 0;
};

} // namespace mangofold::runtime
