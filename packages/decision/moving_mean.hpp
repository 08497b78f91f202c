#pragma once

#include "decision/time.hpp"

namespace mangofold::decision
{

/// The mean of the newest durations, older ones weighing less and less.
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
        m_mean_ns +=
            m_weight * (static_cast<double>(value.count()) - m_mean_ns);
    }

    duration mean() const
    {
        return duration(static_cast<duration::rep>(m_mean_ns));
    }

private:
    double m_weight;
    double m_mean_ns;
};

} // namespace mangofold::decision
