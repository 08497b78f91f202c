#pragma once

#include "decision/target_gate.hpp"
#include "runtime/http_client.hpp"

#include <string>

namespace mangofold::sidecar
{

/// Returns the JSON body of the call that starts \a run on the target.
std::string run_message(const decision::start_run& run);

/// Returns the JSON body of the call that cancels \a run on the target.
std::string cancel_message(const decision::start_run& run);

/// Returns the result in the target's \a answer to \a run: refused if the
/// target reports that it did not run the work; failed for another error, an
/// answer that is not a JSON object, or one for another request or stage.
decision::stage_result read_answer(const decision::start_run& run,
                                   const runtime::http_response& answer);

} // namespace mangofold::sidecar
