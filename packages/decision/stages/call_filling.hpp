#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mangofold::decision
{

/// The waiting pieces of one job, for the choice of those that share a call.
struct fillable_job
{
    std::uint32_t pieces = 0;
    /// Whether a less urgent job already took its place in a call.
    bool was_passed_over = false;
    /// Jobs of a later group never take the place of one of an earlier group.
    std::uint32_t group = 0;

    friend bool operator==(const fillable_job&, const fillable_job&) = default;
};

/// The number of jobs after the most urgent one that are considered for a call.
/// With twenty jobs nearly every call can be filled; each further one costs
/// time and passes over jobs that are due sooner.
inline constexpr std::size_t max_filling_jobs = 20;

/// Which jobs share the next call, as positions in the order of urgency.
struct call_filling
{
    std::vector<std::size_t> chosen;
    /// Jobs that would be in the call if it were filled in order.
    std::vector<std::size_t> passed_over;

    friend bool operator==(const call_filling&, const call_filling&) = default;
};

/// Chooses the jobs that fill a call with \a space for pieces best. The first
/// job always goes in, and a job is passed over at most once, so that none is
/// delayed by more than one call. Of equally full calls, the one with the
/// earlier jobs is chosen.
call_filling fill_call(const std::vector<fillable_job>& jobs,
                       std::size_t space);

} // namespace mangofold::decision
