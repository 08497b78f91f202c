#pragma once

#include "decision/time.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>

namespace mangofold::decision
{

/// Sums by key over a sliding window, in ten steps: the memory does not depend
/// on the number of events. Keys without a recent event are forgotten.
template<typename Key>
class recent_counts
{
public:
    explicit recent_counts(duration window) : m_step(window / steps) {}

    void add(const Key& key, double amount, instant now)
    {
        history& known = m_histories[key];
        advance(known, step_of(now));
        known.sums[bucket_of(known.newest)] += amount;
    }

    /// Returns the sum of \a key within the window that ends at \a now.
    double sum(const Key& key, instant now)
    {
        const auto found = m_histories.find(key);
        return found == m_histories.end() ? 0 : sum_of(found->second, now);
    }

    /// Returns the sum of each key that has one.
    std::map<Key, double> sums(instant now)
    {
        std::map<Key, double> found;
        for (auto entry = m_histories.begin(); entry != m_histories.end();)
        {
            const double sum = sum_of(entry->second, now);
            if (sum > 0)
                found.emplace_hint(found.end(), entry->first, sum);
            entry = sum > 0 ? std::next(entry) : m_histories.erase(entry);
        }
        return found;
    }

private:
    static constexpr std::int64_t steps = 10;
    static constexpr std::int64_t buckets = steps + 1;

    struct history
    {
        std::int64_t newest = 0; ///< Number of the newest step.
        std::array<double, static_cast<std::size_t>(buckets)> sums{};
    };

    std::int64_t step_of(instant now) const
    {
        return now.time_since_epoch() / m_step;
    }

    static std::size_t bucket_of(std::int64_t step)
    {
        return static_cast<std::size_t>((step + buckets) % buckets);
    }

    static void advance(history& known, std::int64_t step)
    {
        const std::int64_t passed =
            std::min(std::max<std::int64_t>(0, step - known.newest), buckets);
        known.newest = std::max(known.newest, step);
        for (std::int64_t back = 0; back < passed; ++back)
            known.sums[bucket_of(known.newest - back)] = 0;
    }

    // The newest step is not over yet, so the oldest counts with a part of it.
    double sum_of(history& known, instant now) const
    {
        advance(known, step_of(now));
        const double passed_part =
            static_cast<double>((now.time_since_epoch() % m_step).count()) /
            static_cast<double>(m_step.count());
        double sum = 0;
        for (std::int64_t back = 0; back < steps; ++back)
            sum += known.sums[bucket_of(known.newest - back)];
        return sum +
               (1 - passed_part) * known.sums[bucket_of(known.newest - steps)];
    }

    duration m_step;
    std::map<Key, history> m_histories;
};

} // namespace mangofold::decision
