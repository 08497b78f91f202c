#pragma once

#include "decision/digest.hpp"

#include <cstdint>
#include <set>

namespace mangofold::decision
{

/// Decides which offered configurations a process adopts, so that a stale
/// source cannot revert a newer configuration.
class generation_gate
{
public:
    enum class verdict
    {
        adopt,    ///< Newer than the current configuration.
        known,    ///< The current configuration.
        older,    ///< Older than the current configuration.
        conflict, ///< Current generation with a different body.
        refused   ///< The same body failed validation before.
    };

    std::uint64_t generation() const { return m_generation; }

    /// Returns the verdict on a configuration \a body of \a generation.
    verdict evaluate(std::uint64_t generation, const digest& body) const;

    /// Whether a configuration of \a generation is worth fetching.
    bool is_newer(std::uint64_t generation) const
    {
        return generation > m_generation;
    }

    /// Records \a body as the current configuration.
    void set_current(std::uint64_t generation, const digest& body);

    /// Records that \a body failed validation. Returns whether \a body was
    /// not recorded before.
    bool add_rejected(const digest& body);

private:
    std::uint64_t m_generation = 0;
    digest m_current_body;
    std::set<digest> m_rejected_bodies;
};

} // namespace mangofold::decision
