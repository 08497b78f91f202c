#pragma once

#include "decision/digest.hpp"
#include "decision/target_incarnation.hpp"
#include "decision/time.hpp"

namespace mangofold::decision
{

/// A target ended while a request was in progress there. One that is refuted
/// says nothing against the request any more.
struct target_end
{
    digest content; ///< Of the request, see request_content.
    target_incarnation target;
    instant began{}; ///< The request was sent there.
    instant ended{}; ///< Its connection was lost.
    bool is_refuted = false;
    /// No end: since `ended`, requests wait at the entry that `target` names
    /// to be tried.
    bool is_claim = false;

    friend bool operator==(const target_end&, const target_end&) = default;
};

} // namespace mangofold::decision
