#pragma once

#include "decision/time.hpp"

#include <cstddef>
#include <cstdint>

namespace mangofold::decision
{

/// How often an entry polls the source, which all entries share.
///
/// \a adoption_time is the time within which published state must be in force,
/// \a live_entries the number of entries that respond, including this one.
namespace source_polling
{

/// Returns how long a watch waits for changes; \a fraction, from 0 to 1,
/// spreads the ends of the entries' watches.
duration watch_timeout(duration adoption_time, std::size_t live_entries,
                       double fraction);

/// Returns the longest watch_timeout for any fraction.
duration max_watch_timeout(duration adoption_time, std::size_t live_entries);

/// Returns how long a watch waits for changes after an attempt to read the
/// source failed.
duration watch_timeout_after_failure(duration adoption_time);

/// Returns the pause after a watch that returned changes.
duration pause_after_changes(duration adoption_time);

/// Returns the delay before the next attempt after \a failures in a row;
/// \a fraction, from 0 to 1, spreads the entries' attempts.
duration retry_delay(duration adoption_time, std::uint32_t failures,
                     double fraction);

} // namespace source_polling

} // namespace mangofold::decision
