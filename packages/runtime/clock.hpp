#pragma once

#include "decision/time.hpp"

namespace mangofold::runtime
{

/// The time source of all components of a process. Tests replace it by a
/// paused_clock.
class clock
{
public:
    virtual ~clock() = default;

    /// Returns the current time.
    virtual decision::instant now() const = 0;
};

/// The monotonic clock of the operating system, which includes the time that
/// the machine is suspended.
class system_clock : public clock
{
public:
    decision::instant now() const override;
};

} // namespace mangofold::runtime
