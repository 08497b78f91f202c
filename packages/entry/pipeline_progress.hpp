#pragma once

#include "entry/pipeline_runner.hpp"

namespace mangofold::entry
{

/// The state of a request while it runs through its pipeline.
struct pipeline_runner::progress
{
    progress(const request& from_client, const manifest::document& manifest,
             const manifest::pipeline& to_run, decision::instant latest_end)
        : client_request(from_client), document(manifest), pipeline(to_run),
          deadline(latest_end)
    {
    }

    const request& client_request;
    const manifest::document& document;
    const manifest::pipeline& pipeline;
    decision::instant deadline;
    std::shared_ptr<mailbox> replies = std::make_shared<mailbox>();
    std::string previous_output;      ///< Output of the previous stage, JSON.
    bool has_completed_stage = false; ///< Whether a stage has completed.
    outcome result;
};

} // namespace mangofold::entry
