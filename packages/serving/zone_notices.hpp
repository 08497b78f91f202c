#pragma once

#include "decision/zone_evacuations.hpp"
#include "serving/entry_context.hpp"

#include <string_view>

namespace mangofold::serving
{

/// Takes in what somebody knows of evacuated zones: their targets get nothing
/// from now on, and those of zones that were taken back are taken to be cold.
/// \a from says who brought it.
void take_zone_words(entry_context& context,
                     const decision::zone_snapshot& words,
                     std::string_view from);

} // namespace mangofold::serving
