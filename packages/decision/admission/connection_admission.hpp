#pragma once

#include "decision/time.hpp"

#include <cstddef>

namespace mangofold::decision
{

/// Decides whether an entry takes a new connection of a caller, and whether it
/// is ready for more of them. One entry can get most of the new connections of
/// its zone or region, far more than its share; the callers of those that it
/// closes unread go to another entry at once.
class connection_admission
{
public:
    /// The state of an entry when a connection arrives.
    struct load
    {
        duration loop_lag{};
        std::size_t descriptors_used = 0;
        std::size_t descriptors = 0; ///< That the process may open.
        bool has_other_entries = false;

        friend bool operator==(const load&, const load&) = default;
    };

    /// Whether so many descriptors are used that idle connections should be
    /// closed.
    static bool lacks_descriptors(const load& now_load);

    /// Whether to take a connection that arrives at \a now.
    bool accept(const load& now_load, instant now);

    /// Whether the entry should get new connections.
    bool is_ready(instant now) const;

private:
    instant m_accepted_at{};
    instant m_declined_from{}; ///< Start of the present overload.
    instant m_declined_at{};
};

} // namespace mangofold::decision
