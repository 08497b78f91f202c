#pragma once

#include "decision/target_gate.hpp"

namespace mangofold::sidecar
{

/// Hands work to the target.
class target_port
{
public:
    virtual ~target_port() = default;

    /// Starts a run; its end is reported later, from another thread.
    virtual void start(const decision::start_run& run) = 0;

    /// Tells the target that nobody waits for a run any more.
    virtual void cancel(decision::run_id run) = 0;
};

} // namespace mangofold::sidecar
