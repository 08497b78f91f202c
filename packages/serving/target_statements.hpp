#pragma once

#include "serving/entry_context.hpp"
#include "serving/target_call.hpp"

namespace mangofold::serving
{

/// Records what a target states about itself in the head of its response to
/// \a call, whose request was sent at \a sent_at.
void record_target_statements(entry_context& context, const target_call& call,
                              instant sent_at);

/// Applies what the entry at \a from knows about the limit of a target.
void merge_request_limit(entry_context& context,
                         const decision::limit_statement& statement,
                         std::string_view from);

} // namespace mangofold::serving
