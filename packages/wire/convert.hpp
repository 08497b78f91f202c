#pragma once

#include "decision/stage_result.hpp"
#include "decision/submission.hpp"
#include "decision/target_crash.hpp"
#include "decision/target_load.hpp"

#include "link.pb.h"

namespace mangofold::wire
{

Load to_wire(const decision::target_load& load);
decision::target_load from_wire(const Load& load);

/// Fills everything but the number of \a message.
void to_wire(const decision::submission& work, Submit& message);
decision::submission from_wire(const Submit& message, decision::link_id link,
                               std::uint64_t generation);

void to_wire(const decision::stage_result& result, Result& message);

/// Returns the result in \a message; a status or reason that is not known
/// counts as an unknown outcome.
decision::stage_result from_wire(const Result& message);

void to_wire(const decision::target_crash& one, decision::instant now,
             TargetLost& message);

/// Returns the end of \a target in \a message, as of \a now.
decision::target_crash from_wire(const TargetLost& message,
                                 const std::string& target,
                                 decision::instant now);

} // namespace mangofold::wire
