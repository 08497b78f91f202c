#pragma once

#include "decision/time.hpp"

#include <boost/histogram.hpp>

#include <cstdint>
#include <string>

namespace mangofold::runtime
{

/// A histogram of durations. The bucket bounds grow by a constant factor, from
/// 50 us to 100 s, so that short and long durations have the same relative
/// precision.
class latency_histogram
{
public:
    latency_histogram();

    void add(decision::duration value);

    std::uint64_t count() const { return m_count; }

    /// Returns the histogram as metric \a name in the Prometheus text format.
    std::string text(const std::string& name, const std::string& labels) const;

private:
    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    using histogram =
        decltype(boost::histogram::make_histogram(std::declval<axis>()));

    histogram m_histogram;
    std::uint64_t m_count = 0;
    double m_sum = 0;
};

} // namespace mangofold::runtime
