#include "decision/stages/call_throughput.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// Before this many calls the declared figures are used: a few calls at the
/// start of a backlog say little about the rest of it.
constexpr std::size_t min_calls = 10;

/// Weight of a new sample once enough are known: an average over about twenty
/// calls, half a second of a service with ten targets.
constexpr double min_weight = 0.05;

} // namespace

bool call_throughput::is_measured() const
{
    return m_calls >= min_calls;
}

// The first samples have equal weights, so that the first one does not dominate
// the average.
void call_throughput::note_call(std::size_t pieces)
{
    ++m_calls;
    const double weight =
        std::max(min_weight, 1 / static_cast<double>(m_calls));
    m_pieces += weight * (static_cast<double>(pieces) - m_pieces);
}

void call_throughput::note_pause(duration pause)
{
    m_pause_ns +=
        min_weight * (static_cast<double>(pause.count()) - m_pause_ns);
}

double call_throughput::pieces_per_call(std::size_t max_pieces) const
{
    const auto full = static_cast<double>(max_pieces);
    return is_measured() ? std::clamp(m_pieces, 1.0, std::max(1.0, full))
                         : full;
}

duration call_throughput::pause() const
{
    return is_measured() ? duration(static_cast<duration::rep>(m_pause_ns))
                         : duration::zero();
}

} // namespace mangofold::decision
