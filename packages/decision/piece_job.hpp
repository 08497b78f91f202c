#pragma once

#include "decision/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace mangofold::decision
{

/// The pieces of one stage of one request, to be made by any target of the
/// stage's service.
struct piece_job
{
    std::uint64_t number = 0; ///< Given by who gathers.
    std::string request;
    std::uint32_t stage = 0;
    std::uint32_t pieces = 1;
    std::string key;                 ///< Where the stage follows no other.
    std::vector<std::string> inputs; ///< Results it needs otherwise.
    std::uint64_t result_bytes = 0;  ///< Of one piece, roughly.
    double worth = 1;                ///< Urgency rank: more goes first.
    instant due{};                   ///< To be useful in full.
    instant expires{};               ///< To be of any use.

    friend bool operator==(const piece_job&, const piece_job&) = default;
};

/// One piece of a job.
struct piece_ref
{
    std::uint64_t job = 0;
    std::uint32_t piece = 0;

    friend auto operator<=>(const piece_ref&, const piece_ref&) = default;
};

/// How the pieces of a job ended.
enum class job_end : std::uint8_t
{
    made,  ///< All results are there.
    late,  ///< Its time was over before it could be made.
    gone,  ///< One of its inputs is no longer there.
    failed ///< No target could make it.
};

} // namespace mangofold::decision
