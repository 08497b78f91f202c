#pragma once

#include "decision/stages/call_planner.hpp"

#include <algorithm>

namespace mangofold::test
{

inline const decision::instant start{std::chrono::hours(1)};

/// One slot, a queue of \a queue calls, ten pieces per call, 200 ms per call
/// plus 10 ms per piece, and memory for thirty results of 1,000 bytes.
inline catalog::call_profile profile(std::uint32_t queue = 0)
{
    using namespace std::chrono_literals;
    return {1, queue, 10, 200ms, 10ms, 31000, 4s};
}

inline decision::stage_job make_job(std::uint64_t number, std::uint32_t pieces,
                                    decision::duration due)
{
    decision::stage_job result;
    result.number = number;
    result.request = "r" + std::to_string(number);
    result.pieces = pieces;
    result.due = start + due;
    result.expires = start + due + std::chrono::seconds(4);
    return result;
}

inline decision::call_planner make_planner(int targets, std::uint32_t queue = 0)
{
    decision::call_planner planner(profile(queue));
    std::map<decision::target_incarnation, std::string> zones;
    for (int index = 0; index < targets; ++index)
        zones["t" + std::to_string(index)] = "a";
    planner.set_targets(zones);
    return planner;
}

/// Answers \a call after \a took, with a result for each piece.
inline void answer(decision::call_planner& planner,
                   const decision::planned_call& call, decision::duration took,
                   decision::instant now)
{
    planner.note_call_answered(call, took, now);
    for (const decision::piece_ref& piece : call.pieces)
        planner.note_piece_completed(piece, call.target,
                                     call.target.id + "/" +
                                         std::to_string(piece.job) + "." +
                                         std::to_string(piece.piece),
                                     now);
    planner.take_finished();
}

/// Returns the numbers of the jobs with pieces in \a call, in order.
inline std::vector<std::uint64_t> jobs_of(const decision::planned_call& call)
{
    std::vector<std::uint64_t> numbers;
    for (const decision::piece_ref& piece : call.pieces)
        numbers.push_back(piece.job);
    std::sort(numbers.begin(), numbers.end());
    numbers.erase(std::unique(numbers.begin(), numbers.end()), numbers.end());
    return numbers;
}

} // namespace mangofold::test
