#pragma once

#include "decision/time.hpp"

#include <cmath>

namespace mangofold::decision
{

/// Exponentially weighted moving average and mean deviation of durations.
class moving_mean
{
public:
    /// Starts at \a initial. Each new duration has the weight \a weight.
    explicit moving_mean(duration initial, double weight = 0.05)
        : m_weight(weight), m_mean_ns(static_cast<double>(initial.count()))
    {
    }

    void add(duration value)
    {
        const double difference =
            static_cast<double>(value.count()) - m_mean_ns;
        m_mean_ns += m_weight * difference;
        m_deviation_ns += m_weight * (std::abs(difference) - m_deviation_ns);
    }

    duration mean() const
    {
        return duration(static_cast<duration::rep>(m_mean_ns));
    }

    /// Returns the mean plus \a deviations mean deviations. About four in five
    /// durations are below the mean plus one deviation.
    duration mean_plus(double deviations) const
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
