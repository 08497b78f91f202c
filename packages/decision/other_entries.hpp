#pragma once

namespace mangofold::decision
{

/// Which other entries serve what a stopping entry refuses.
enum class other_entries
{
    few,        ///< Too few.
    later_half, ///< Half of the fleet, which stops, too, but still takes all.
    most        ///< Most, which run for longer.
};

} // namespace mangofold::decision
