#pragma once

#include "decision/stages/target_load_report.hpp"
#include "decision/target_incarnation.hpp"
#include "decision/time.hpp"

#include <cstdint>
#include <map>
#include <set>

namespace mangofold::decision
{

/// Decides when the stage results that an engine fetches for a request are
/// released: once it must have fetched them, or only at the first event of the
/// answer.
///
/// Results fill the memory of the targets that made them, which then make no
/// further calls. An engine with free slots fetches them at once, 0.2 to 2 s
/// before its first event. One without fetches them when the request gets a
/// slot.
class input_release
{
public:
    /// Records the load that \a engine stated at \a now.
    void note_load(const target_incarnation& engine,
                   const target_load_report& report, instant now);

    /// Records that \a engine found inputs gone that were released early.
    void note_inputs_lost(const target_incarnation& engine);

    /// Whether \a engine will fetch the inputs of a request sent at \a now
    /// without waiting for a slot.
    bool may_release_early(const target_incarnation& engine, instant now) const;

    /// Returns the time after which an engine must have fetched \a bytes that
    /// their targets send at \a bytes_per_s.
    static duration fetch_time(std::uint64_t bytes, double bytes_per_s);

private:
    struct stated_load
    {
        target_load_report report;
        instant at{};
    };

    std::map<target_incarnation, stated_load> m_loads;
    std::set<target_incarnation> m_failed; ///< See note_inputs_lost().
    instant m_pruned_at{};
};

} // namespace mangofold::decision
