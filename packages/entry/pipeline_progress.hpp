#pragma once

#include "entry/pipeline_runner.hpp"

namespace mangofold::entry
{

/// The state of a request while it runs through its pipeline.
struct pipeline_runner::progress
{
    progress(const request& what, const manifest::document& manifest,
             const manifest::pipeline& through, decision::instant latest)
        : asked(what), document(manifest), pipeline(through), deadline(latest)
    {
    }

    const request& asked;
    const manifest::document& document;
    const manifest::pipeline& pipeline;
    decision::instant deadline;
    std::shared_ptr<mailbox> replies = std::make_shared<mailbox>();
    std::string previous; ///< Output of the previous stage, JSON.
    bool has_run = false; ///< Whether a stage has completed.
    outcome result;
};

} // namespace mangofold::entry
