#pragma once

#include "decision/target_gate.hpp"

namespace mangofold::sidecar
{

/// Takes results to the entries that wait for them.
class result_sink
{
public:
    virtual ~result_sink() = default;

    virtual void send(const decision::send_result& result) = 0;
};

} // namespace mangofold::sidecar
