#pragma once

#include "catalog/catalog.hpp"
#include "decision/stages/target_load_report.hpp"
#include "decision/time.hpp"

#include <cstddef>
#include <optional>

namespace mangofold::decision
{

/// The expected duration of the calls to one target: the declared figures times
/// what the target usually takes, and the pace that it states for this moment.
///
/// Statements are hints. They change the order of targets and the expected
/// duration within bounds; a target that states nonsense still gets calls.
class target_pace
{
public:
    /// Records that a call whose declared duration is \a nominal took \a took.
    void note_call(duration nominal, duration took);

    /// Records the load that the target stated at \a now, in the response to
    /// one of \a own_calls of this entry. \a call_time is the duration of a
    /// call.
    void note_load(const target_load_report& report, std::uint32_t own_calls,
                   duration call_time, instant now);

    /// Returns the expected duration of a call that starts at \a now and whose
    /// declared duration is \a nominal, apart from a slow period of the target.
    duration expected(duration nominal, instant now) const;

    /// Returns until when calls of another entry are expected to occupy the
    /// target.
    instant occupied_until() const { return m_occupied_until; }

private:
    double m_usual = 1; ///< Mean duration over the declared one.
    std::optional<double> m_stated_pace;
    instant m_stated_at{};
    instant m_occupied_until{};
    bool m_was_occupied = false;   ///< In the statement before.
    bool m_is_disbelieved = false; ///< The calls did not wait for others.
    double m_latest = 1; ///< Duration of the latest call over the usual one.
};

} // namespace mangofold::decision
