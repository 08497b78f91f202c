#pragma once

#include <string>

namespace mangofold::runtime
{

/// A component of a process that a supervisor starts, monitors, restarts after
/// a failure and stops.
class child
{
public:
    virtual ~child() = default;

    virtual const std::string& name() const = 0;

    /// Starts the component. Throws std::exception if the start fails.
    virtual void start() = 0;

    /// Stops the component and waits until the component has ended.
    virtual void stop() noexcept = 0;

    /// Whether the component has ended without a call of stop() since its last
    /// start.
    virtual bool has_failed() const = 0;
};

} // namespace mangofold::runtime
