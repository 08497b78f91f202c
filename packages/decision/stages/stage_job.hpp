#pragma once

#include "decision/admission/urgency.hpp"
#include "decision/digest.hpp"
#include "decision/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace mangofold::decision
{

/// The pieces that a request still needs from the service of a downstream
/// stage.
struct downstream_pieces
{
    std::string service;
    std::uint32_t pieces = 0;

    friend bool operator==(const downstream_pieces&,
                           const downstream_pieces&) = default;
};

/// The pieces of one stage of one request. Any target of the stage's service
/// can execute them.
struct stage_job
{
    std::uint64_t number = 0; ///< Assigned by the entry that plans the calls.
    std::string request;      ///< Request id.
    digest content;           ///< Of the request, see request_content.
    std::uint32_t stage = 0;
    std::uint32_t pieces = 1;
    std::string key;                 ///< Piece key; set for a first stage.
    std::vector<std::string> inputs; ///< Handles of results; set for a stage
                                     ///< that follows others.
    std::uint64_t result_bytes = 0;  ///< Approximate size of one result.
    std::uint64_t input_bytes = 0;   ///< Approximate input size of one piece.
    std::string zone;    ///< Preferred zone of the results; empty for any.
    instant queued_at{}; ///< When the planning entry received the job.
    decision::urgency urgency;
    std::string account;            ///< Name of the client account.
    bool is_returning = false;      ///< The caller retries after a rejection.
    bool continues_stream = false;  ///< The caller has a part of its stream.
    bool accepts_rejection = false; ///< The submitter knows `rejected`.
    instant due{};           ///< When all stages should be done for full value.
    instant expires{};       ///< When all stages must be done to be of any use.
    bool is_started = false; ///< Other stages of the request have started.
    bool is_late = false;    ///< Was expected to be late when it started.
    /// Work at the services of the downstream stages.
    std::vector<downstream_pieces> downstream;

    friend bool operator==(const stage_job&, const stage_job&) = default;
};

/// Identifies one piece of a job.
struct piece_ref
{
    std::uint64_t job = 0;
    std::uint32_t piece = 0;

    friend auto operator<=>(const piece_ref&, const piece_ref&) = default;
};

/// How a job ended.
enum class job_status : std::uint8_t
{
    completed,  ///< All results are available.
    expired,    ///< The job expired before it was done.
    input_lost, ///< An input no longer exists.
    failed,     ///< No target could execute the pieces.
    rejected    ///< Not started, since there is no capacity for it in time.
};

} // namespace mangofold::decision
