#pragma once

#include "decision/backoff.hpp"
#include "runtime/child.hpp"
#include "runtime/clock.hpp"

#include <memory>
#include <string>
#include <vector>

namespace mangofold::runtime
{

/// Starts its children in order, restarts failed children with exponential
/// backoff, and stops all of them in reverse order. A supervisor is a child
/// itself, so that supervisors can form a tree.
class supervisor : public child
{
public:
    supervisor(std::string name, const clock& time);

    /// Adds a child, which is started after the children added before.
    void add(std::unique_ptr<child> added);

    const std::string& name() const override { return m_name; }
    void start() override;
    void stop() noexcept override;
    bool has_failed() const override { return false; }

    /// Stops children that have failed and restarts those whose backoff delay
    /// is over, in nested supervisors, too. To be called regularly.
    void check();

    /// Returns the number of restart attempts, without those of nested
    /// supervisors.
    std::size_t restarts() const { return m_restarts; }

private:
    struct supervised_child
    {
        std::unique_ptr<child> component;
        supervisor* nested; ///< The component if it is a supervisor, or null.
        decision::backoff restart_backoff;
        bool is_running = false;
        decision::instant restart_at{};
        decision::instant started_at{};
    };

    void handle_failure(supervised_child& failed);
    void restart(supervised_child& failed);

    std::string m_name;
    const clock& m_clock;
    decision::random_source m_random{1};
    std::vector<supervised_child> m_children;
    std::size_t m_restarts = 0;
};

} // namespace mangofold::runtime
