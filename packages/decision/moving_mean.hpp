#pragma once

#include "decision/time.hpp"

#include <cmath>

namespace mangofold::decision
{

/// The mean of the newest durations and how far they spread, older ones
/// weighing less and less.
class moving_mean
{
public:
    /// Starts with \a first; the newest value weighs \a weight.
    explicit moving_mean(duration first, double weight = 0.05)
        : m_weight(weight), m_mean_ns(static_cast<double>(first.count()))
    {
    }

    void add(duration value)
    {
        const double off = static_cast<double>(value.count()) - m_mean_ns;
        m_mean_ns += m_weight * off;
        m_deviation_ns += m_weight * (std::abs(off) - m_deviation_ns);
    }

    duration mean() const
    {
        return duration(static_cast<duration::rep>(m_mean_ns));
    }

    /// Returns the mean and some mean deviations more; one holds for about
    /// four durations in five.
    duration above(double deviations) const
    {
        return duration(static_cast<duration::rep>(
            m_mean_ns + deviations * m_deviation_ns));
    }

private:
    double m_weight;
    double m_mean_ns;
    double m_deviation_ns = 0;
};

} // namespace mangofold::decision
