#pragma once

#include "decision/time.hpp"

#include <cstddef>
#include <cstdint>

namespace mangofold::decision
{

/// How often an entry asks the source, which all entries share.
///
/// \a bound is the time in which what is published must be in force,
/// \a answering the number of entries that answer, this one included.
namespace source_pace
{

/// Returns how long a watch waits for changes; \a fraction, from 0 to 1,
/// spreads the entries' watches.
duration watch_time(duration bound, std::size_t answering, double fraction);

/// Returns the longest of these times.
duration longest_watch(duration bound, std::size_t answering);

/// Returns the pause after a watch that told of changes.
duration rest_time(duration bound);

/// Returns the pause after \a failures in a row; \a fraction as above.
duration failure_pause(duration bound, std::uint32_t failures, double fraction);

} // namespace source_pace

} // namespace mangofold::decision
