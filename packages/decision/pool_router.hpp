#pragma once

#include "decision/random_source.hpp"
#include "decision/selection_policy.hpp"
#include "decision/stage_result.hpp"
#include "decision/target_view.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mangofold::decision
{

/// ID and availability zone of a target, as published.
struct target_location
{
    std::string id;
    std::string zone;

    friend auto operator<=>(const target_location&,
                            const target_location&) = default;
};

/// Outlier ejection: when a failing target is taken out of rotation, and for
/// how long.
struct ejection_policy
{
    /// Failures in a row that eject a target.
    std::uint32_t consecutive_failures = 3;
    /// Duration of the first ejection; each further failure doubles it.
    duration base_duration = std::chrono::milliseconds(250);
    duration max_duration = std::chrono::seconds(8);
    /// Share of the pool that may be ejected; above it no ejection counts.
    double max_ejected_share = 0.5;

    friend bool operator==(const ejection_policy&,
                           const ejection_policy&) = default;
};

/// Chooses targets of one pool by their reported load and the results of the
/// attempts of this entry.
template<selection_policy Selection>
class pool_router
{
public:
    pool_router(std::string zone, Selection selection, ejection_policy ejection,
                std::uint64_t seed)
        : m_zone(std::move(zone)), m_selection(std::move(selection)),
          m_ejection(ejection), m_random(seed)
    {
    }

    /// Sets the published targets and keeps the state of those that remain.
    void set_targets(const std::vector<target_location>& targets);

    /// Returns a target for new work, or nothing if no target is eligible. A
    /// target in \a avoided is chosen only if there is no other.
    std::optional<std::string>
    pick(work_class work, const std::vector<std::string>& avoided, instant now);

    /// Returns the shortest expected latency of new work at any target.
    duration expected_latency(work_class work, instant now) const;

    void link_opened(const std::string& target, instant now);
    void link_closed(const std::string& target);
    void target_left(const std::string& target);
    void load_reported(const std::string& target, const target_load& load);
    void attempt_sent(const std::string& target, work_class priority);
    void attempt_ended(const std::string& target, work_class priority,
                       const stage_result& result, instant now);

    const std::map<std::string, target_view>& targets() const
    {
        return m_targets;
    }

private:
    using candidates = std::vector<const target_view*>;

    candidates eligible_targets(const std::vector<std::string>& avoided,
                                instant now) const;
    std::size_t ejected_count(instant now) const;
    void note_failure(target_view& view, instant now);

    template<typename Change>
    void change(const std::string& target, Change apply)
    {
        const auto found = m_targets.find(target);
        if (found != m_targets.end())
            apply(found->second);
    }

    std::string m_zone;
    Selection m_selection;
    ejection_policy m_ejection;
    random_source m_random;
    std::map<std::string, target_view> m_targets;
};

} // namespace mangofold::decision

#include "decision/pool_router.ipp"
