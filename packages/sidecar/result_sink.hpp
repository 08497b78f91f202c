#pragma once

#include "decision/target_crash.hpp"
#include "decision/target_gate.hpp"

namespace mangofold::sidecar
{

/// Sends the results of submissions, and target crashes, to the entries.
class result_sink
{
public:
    virtual ~result_sink() = default;

    /// Sends \a result, with the current \a load of the target, to the entry
    /// that waits for it. Must not block.
    virtual void send(const decision::send_result& result,
                      const decision::target_load& load) = 0;

    /// Reports to all entries that the target crashed during a run.
    virtual void report_target_crash(const decision::target_crash& crash) = 0;
};

} // namespace mangofold::sidecar
