#pragma once

#include "decision/target_gate.hpp"

namespace mangofold::sidecar
{

/// Executes runs on the target. Methods must not block.
class run_executor
{
public:
    virtual ~run_executor() = default;

    /// Starts a run. Its result is reported later, from another thread.
    virtual void start(const decision::start_run& run) = 0;

    /// Tells the target that no entry waits for the run any more.
    virtual void cancel(decision::run_id run) = 0;
};

} // namespace mangofold::sidecar
