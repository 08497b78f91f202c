#pragma once

#include <string>

namespace mangofold::runtime
{

/// A part of a process that a supervisor starts, watches and stops.
class child
{
public:
    virtual ~child() = default;

    virtual const std::string& name() const = 0;

    /// Starts the part. Throws where it cannot.
    virtual void start() = 0;

    /// Stops the part and waits until it has ended.
    virtual void stop() noexcept = 0;

    /// Whether the part ended by itself since its start.
    virtual bool has_failed() const = 0;
};

} // namespace mangofold::runtime
