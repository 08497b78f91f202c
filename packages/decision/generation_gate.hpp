#pragma once

#include "decision/digest.hpp"

#include <cstdint>
#include <set>

namespace mangofold::decision
{

/// Decides which offered configurations a process takes in.
class generation_gate
{
public:
    enum class verdict
    {
        adopt,    ///< Newer and good.
        known,    ///< The one in force.
        older,    ///< Older than the one in force.
        conflict, ///< Another body under the generation in force.
        refused   ///< This very body was found bad before.
    };

    std::uint64_t generation() const { return m_generation; }

    /// Returns what to do with the body \a body of \a generation.
    verdict judge(std::uint64_t generation, const digest& body) const;

    /// Whether an offer of \a generation is worth fetching.
    bool is_wanted(std::uint64_t generation) const
    {
        return generation > m_generation;
    }

    /// Notes that \a body is in force from now on.
    void adopted(std::uint64_t generation, const digest& body);

    /// Notes that \a body did not pass the checks. Returns whether that is
    /// news.
    bool found_bad(const digest& body);

private:
    std::uint64_t m_generation = 0;
    digest m_body;
    std::set<digest> m_bad;
};

} // namespace mangofold::decision
