#pragma once

#include "serving/target_call.hpp"
#include "serving/target_losses.hpp"

#include <memory>

namespace mangofold::serving
{

/// Reads on for up to \a time in \a call, whose answer is of no use, and
/// records a crash of its target meanwhile. Then closes the connection.
awaitable<void> watch_given_up_run(entry_context& context,
                                   std::shared_ptr<target_call> call,
                                   target_run run, duration time);

} // namespace mangofold::serving
