#pragma once

#include "decision/reason.hpp"

#include <array>
#include <cstddef>

namespace mangofold::decision
{

/// Limits the requests in progress. Only urgent requests may use the whole
/// limit, since a request counts until it ends: otherwise a burst of long bulk
/// requests would leave no room for short urgent ones.
class in_progress_limit
{
public:
    explicit in_progress_limit(std::size_t max_requests)
        : m_max_requests(max_requests)
    {
    }

    /// Counts a new request of class \a priority. Returns whether it is within
    /// the limit.
    bool try_acquire(work_class priority);

    /// Counts the end of a request of class \a priority.
    void release(work_class priority)
    {
        --m_counts.at(static_cast<std::size_t>(priority));
    }

    std::size_t count() const;

private:
    std::size_t max_for(work_class priority) const;

    std::size_t m_max_requests;
    std::array<std::size_t, work_class_count> m_counts{};
};

inline std::size_t in_progress_limit::count() const
{
    std::size_t sum = 0;
    for (const std::size_t class_count : m_counts)
        sum += class_count;
    return sum;
}

inline std::size_t in_progress_limit::max_for(work_class priority) const
{
    if (priority == work_class::bulk)
        return m_max_requests * 6 / 10;
    return priority == work_class::standard ? m_max_requests * 8 / 10
                                            : m_max_requests;
}

// The limit of a class also covers the less urgent classes, so that bulk and
// standard requests together stay within the limit of standard requests.
inline bool in_progress_limit::try_acquire(work_class priority)
{
    std::size_t at_or_below = 0;
    for (std::size_t class_index = static_cast<std::size_t>(priority);
         class_index < m_counts.size(); ++class_index)
    {
        at_or_below += m_counts[class_index];
    }
    if (at_or_below >= max_for(priority) || count() >= m_max_requests)
        return false;
    ++m_counts.at(static_cast<std::size_t>(priority));
    return true;
}

} // namespace mangofold::decision
