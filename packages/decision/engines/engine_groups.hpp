#pragma once

#include "decision/engines/prompt_affinity.hpp"

#include <string>
#include <vector>

namespace mangofold::decision
{

/// Returns the groups into which \a engine_count engines of \a service are
/// split, each with a scheduler of its own: just the service unless it has very
/// many engines.
std::vector<std::string> engine_groups(const std::string& service,
                                       std::size_t engine_count);

/// Returns which of \a groups the engine \a id belongs to.
const std::string& group_of_engine(const std::string& id,
                                   const std::vector<std::string>& groups);

/// Returns which of \a groups runs generations with \a prompt: the same one for
/// all that share the segments before the last.
const std::string& group_of_prompt(const std::vector<prompt_segment>& prompt,
                                   const std::vector<std::string>& groups);

} // namespace mangofold::decision
