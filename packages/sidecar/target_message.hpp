#pragma once

#include "decision/target_gate.hpp"
#include "runtime/http_client.hpp"

#include <string>

namespace mangofold::sidecar
{

/// Returns the JSON that asks the target to run \a run.
std::string run_message(const decision::start_run& run);

/// Returns the JSON that tells the target to drop \a run.
std::string cancel_message(const decision::start_run& run);

/// Returns what the target's \a answer to \a run means. An answer that is no
/// JSON, or that names another request or stage, counts as failed.
decision::stage_result read_answer(const decision::start_run& run,
                                   const runtime::http_answer& answer);

} // namespace mangofold::sidecar
