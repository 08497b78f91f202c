#pragma once

#include "decision/reason.hpp"

#include <array>
#include <cstddef>

namespace mangofold::decision
{

/// Bounds the requests in progress so that less urgent classes cannot fill
/// the whole bound: a request in progress holds its place until it ends, and
/// a burst of long ones would leave none for a voucher check.
class in_progress_limit
{
public:
    explicit in_progress_limit(std::size_t most) : m_most(most) {}

    /// Takes a place for class \a priority. Returns whether there was one.
    bool take(work_class priority);

    /// Gives a place back.
    void give_back(work_class priority)
    {
        --m_counts.at(static_cast<std::size_t>(priority));
    }

    std::size_t count() const;

private:
    std::size_t bound_of(work_class priority) const;

    std::size_t m_most;
    std::array<std::size_t, work_class_count> m_counts{};
};

inline std::size_t in_progress_limit::count() const
{
    std::size_t sum = 0;
    for (const std::size_t one : m_counts)
        sum += one;
    return sum;
}

inline std::size_t in_progress_limit::bound_of(work_class priority) const
{
    if (priority == work_class::bulk)
        return m_most * 6 / 10;
    return priority == work_class::standard ? m_most * 8 / 10 : m_most;
}

// The bound of a class counts the classes that are less urgent too, so that
// bulk and standard work together stay within the bound of standard work.
inline bool in_progress_limit::take(work_class priority)
{
    std::size_t held = 0;
    for (std::size_t index = static_cast<std::size_t>(priority);
         index < m_counts.size(); ++index)
    {
        held += m_counts[index];
    }
    if (held >= bound_of(priority) || count() >= m_most)
        return false;
    ++m_counts.at(static_cast<std::size_t>(priority));
    return true;
}

} // namespace mangofold::decision
