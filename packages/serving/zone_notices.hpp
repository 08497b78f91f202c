#pragma once

#include "decision/zone_evacuations.hpp"
#include "serving/entry_context.hpp"

#include <string_view>

namespace mangofold::serving
{

/// Applies the evacuations in \a received that are newer than the known ones.
/// Targets of evacuated zones get no requests from now on; targets of zones
/// that return to service are treated as cold. \a from names the origin in the
/// log.
void apply_zone_evacuations(entry_context& context,
                            const decision::zone_snapshot& received,
                            std::string_view from);

} // namespace mangofold::serving
