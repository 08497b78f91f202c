#pragma once

#include "decision/time.hpp"

#include <cstddef>

namespace mangofold::decision
{

/// Measures what the calls of a service achieve while more pieces wait than
/// they can hold: how many pieces a call holds, and how long a target is idle
/// between two calls.
///
/// Jobs are kept in one call, so calls are seldom full. A forecast that divides
/// the backlog by the rate of full calls underestimates the wait by up to a
/// third, and requests are started that miss their objective.
class call_throughput
{
public:
    /// Records a call that was as full as the waiting jobs allowed.
    void note_call(std::size_t pieces);

    /// Records that a target was idle for \a pause although pieces waited.
    void note_pause(duration pause);

    /// Returns the mean number of pieces per call, or \a max_pieces before
    /// enough calls were measured.
    double pieces_per_call(std::size_t max_pieces) const;

    /// Returns the mean pause; none before enough calls were measured.
    duration pause() const;

private:
    bool is_measured() const;

    std::size_t m_calls = 0;
    double m_pieces = 0;
    double m_pause_ns = 0;
};

} // namespace mangofold::decision
