#pragma once

#include "decision/time.hpp"

#include <boost/histogram.hpp>

#include <cstdint>
#include <string>

namespace mangofold::runtime
{

/// Durations in buckets that grow by a constant factor, from 50 us to 100 s.
class latency_histogram
{
public:
    latency_histogram();

    void add(decision::duration value);

    std::uint64_t count() const { return m_count; }

    /// Returns the lines of the exposition format for metric \a name.
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
