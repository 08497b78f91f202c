#pragma once

#include "decision/stage_result.hpp"
#include "decision/submission.hpp"
#include "decision/target_crash.hpp"
#include "decision/target_load.hpp"

#include "link.pb.h"

namespace mangofold::wire
{

/// Converts between the types of the decision library and the messages of
/// link.proto.
Load to_wire(const decision::target_load& load);
decision::target_load from_wire(const Load& load);

/// Sets all fields of \a message except its number.
void to_wire(const decision::submission& work, Submit& message);
decision::submission from_wire(const Submit& message, decision::link_id link,
                               std::uint64_t generation);

/// Sets the fields of \a message that \a result holds: all but its number,
/// request, stage, attempt and load.
void to_wire(const decision::stage_result& result, Result& message);

/// Returns the result in \a message. An unrecognized status is read as an
/// unknown outcome, an unrecognized reason as no reason.
decision::stage_result from_wire(const Result& message);

/// Times are sent as ages at \a now, since the clocks of machines differ.
void to_wire(const decision::target_crash& crash, decision::instant now,
             TargetLost& message);

/// Returns the crash of \a target in \a message, received at \a now.
decision::target_crash from_wire(const TargetLost& message,
                                 const std::string& target,
                                 decision::instant now);

} // namespace mangofold::wire
