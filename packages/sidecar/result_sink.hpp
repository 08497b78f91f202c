#pragma once

#include "decision/target_crash.hpp"
#include "decision/target_gate.hpp"

namespace mangofold::sidecar
{

/// Takes results to the entries that wait for them.
class result_sink
{
public:
    virtual ~result_sink() = default;

    /// \a load is that of the target at this moment.
    virtual void send(const decision::send_result& result,
                      const decision::target_load& load) = 0;

    /// Tells all entries that the target ended under a run.
    virtual void tell_end(const decision::target_crash& one) = 0;
};

} // namespace mangofold::sidecar
