#pragma once

#include "decision/digest.hpp"
#include "decision/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace mangofold::decision
{

/// Pieces of a later stage of the same request.
struct later_pieces
{
    std::string service;
    std::uint32_t pieces = 0;

    friend bool operator==(const later_pieces&, const later_pieces&) = default;
};

/// The pieces of one stage of one request, to be made by any target of the
/// stage's service.
struct piece_job
{
    std::uint64_t number = 0; ///< Given by who gathers.
    std::string request;
    digest content; ///< Of the request, see request_content.
    std::uint32_t stage = 0;
    std::uint32_t pieces = 1;
    std::string key;                 ///< Where the stage follows no other.
    std::vector<std::string> inputs; ///< Results it needs otherwise.
    std::uint64_t result_bytes = 0;  ///< Of one piece, roughly.
    std::uint64_t input_bytes = 0;   ///< That one piece needs, roughly.
    std::string zone;      ///< Where its results are best made, if anywhere.
    instant asked_at{};    ///< At who gathers.
    duration yields{};     ///< How much later than due it counts as due, since
                           ///< others are more urgent.
    instant due{};         ///< All stages should be made, to be useful in full.
    instant expires{};     ///< All stages must be made, to be of any use.
    bool is_begun = false; ///< Other stages of its request are under way.
    bool is_late = false;  ///< It was begun although it would be late.
    /// Work that waits for it at other services, in pieces.
    std::vector<later_pieces> later;

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
