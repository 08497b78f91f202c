#pragma once

#include "traffic.hpp"

#include <optional>
#include <vector>

namespace mangofold::test
{

/// Sends connections to the entries of a zone: to those in rotation, to all if
/// fewer than half are, or to those of the next zone if none is.
class balancer
{
public:
    explicit balancer(int entries) : m_misses(entries, 0) {}

    static int zone_of(int entry) { return entry % zone_count; }

    /// Notes the result of a readiness check; two misses end the rotation.
    void note_check(int entry, bool is_ready)
    {
        int& misses = m_misses[entry];
        misses = is_ready ? 0 : misses + 1;
    }

    bool is_in_rotation(int entry) const { return m_misses[entry] < 2; }

    /// Returns the entry for a caller in \a zone, if possible another one than
    /// \a refused_by; \a choice is from 0 to 1.
    int choose(int zone, double choice, std::optional<int> refused_by) const
    {
        std::vector<int> used = used_entries(zone);
        if (refused_by && used.size() > 1)
            std::erase(used, *refused_by);
        return used[static_cast<std::size_t>(choice *
                                             static_cast<double>(used.size()))];
    }

private:
    std::vector<int> used_entries(int zone) const
    {
        std::vector<int> nearest;
        for (int step = 0; step < zone_count; ++step)
        {
            std::vector<int> all;
            std::vector<int> in_rotation;
            const int entries = static_cast<int>(m_misses.size());
            for (int entry = 0; entry < entries; ++entry)
                if (zone_of(entry) == (zone + step) % zone_count)
                {
                    all.push_back(entry);
                    if (is_in_rotation(entry))
                        in_rotation.push_back(entry);
                }
            if (!in_rotation.empty())
                return 2 * in_rotation.size() < all.size() ? all : in_rotation;
            if (nearest.empty())
                nearest = all;
        }
        return nearest;
    }

    std::vector<int> m_misses; ///< In a row, of each entry.
};

} // namespace mangofold::test
