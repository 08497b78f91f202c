#pragma once

#include "decision/time.hpp"

#include <optional>

namespace mangofold::decision
{

/// How long after the first event of an answer a target that still sends events
/// has survived the request.
extern const duration survival_time;

/// Whether a target has survived a request whose answer is not complete at
/// \a now. The answer has had events since \a first_event_at, if it has had
/// any; the event loop is late by \a lag.
bool has_survived(std::optional<instant> first_event_at, instant now,
                  duration lag);

} // namespace mangofold::decision
