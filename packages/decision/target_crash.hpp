#pragma once

#include "decision/digest.hpp"
#include "decision/suspects/name_set.hpp"
#include "decision/target_incarnation.hpp"
#include "decision/time.hpp"

namespace mangofold::decision
{

/// A record that a target process ended while a request was in progress on it,
/// so that the request is suspected of having crashed the target.
struct target_crash
{
    /// Of the request, see request_content, or of a part of its prompt, see
    /// request_suspects.
    digest content;
    target_incarnation target;
    instant started_at{}; ///< When the request was sent to the target.
    instant crashed_at{}; ///< When the connection to the target was lost.
    /// Whether the record no longer counts against the request, since the
    /// request was served or the target turned out to be alive.
    bool is_refuted = false;
    /// Whether the record is a claim to a trial and not a crash: `target.id`
    /// names an entry where requests of this content have waited for a trial
    /// since `crashed_at`. Claims are replicated together with the crashes.
    bool is_claim = false;
    bool is_part = false; ///< Whether `content` is a part of prompts.
    /// Of a part: the client accounts whose requests with it were in progress,
    /// and the software version of the target.
    name_set accounts{};
    name_set versions{};

    friend bool operator==(const target_crash&, const target_crash&) = default;
};

} // namespace mangofold::decision
