#pragma once

#include "decision/random_source.hpp"
#include "decision/target_directory.hpp"
#include "decision/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangofold::decision
{

/// Chooses targets by the latencies and failures that this process observed.
///
/// Targets that stop responding are ejected: skipped for a while, unless all
/// candidates are ejected.
class target_health
{
public:
    explicit target_health(std::uint64_t seed) : m_random(seed) {}

    void note_sent(const target_incarnation& target)
    {
        ++m_stats[target].in_flight;
    }

    /// Notes that \a target responded after \a latency; \a is_failure tells
    /// whether the response reports a failure of the target itself.
    void note_answered(const target_incarnation& target, duration latency,
                       bool is_failure);

    /// Notes that \a target refused a request without executing any of it.
    void note_refused(const target_incarnation& target, instant now);

    /// Notes that a request to \a target got no response.
    void note_no_answer(const target_incarnation& target, instant now);

    /// Notes that the caller gave up a request to \a target.
    void note_abandoned(const target_incarnation& target);

    /// Returns the target among \a candidates with the lowest expected latency
    /// for a caller in \a zone, or nothing if all of them are in \a tried.
    /// \a may_probe allows targets that failed or were slow a while ago: a
    /// request that may be repeated loses little if they still fail.
    const listed_target*
    choose(const std::vector<const listed_target*>& candidates,
           const std::set<target_incarnation>& tried, const std::string& zone,
           instant now, bool may_probe = true);

    std::uint32_t in_flight(const target_incarnation& target) const;

    /// Returns the latency within which nearly all responses arrive, or nothing
    /// before there were enough responses.
    std::optional<duration> usual_max_latency() const;

    /// Whether \a target is ejected after it refused or failed to respond.
    bool is_ejected(const target_incarnation& target, instant now) const;

private:
    struct stats
    {
        std::uint32_t in_flight = 0;
        double latency_ns = 0;   ///< Moving average; 0 before the first.
        double failure_rate = 0; ///< Moving average, from 0 to 1.
        std::uint32_t consecutive_unanswered = 0;
        instant ejected_until{};
        /// Value of m_answers when this target's averages last changed.
        std::uint64_t updated_at = 0;
    };

    double expected_ns(const listed_target& target, std::uint32_t max_slots,
                       const std::string& zone, instant now,
                       bool may_probe) const;
    double mean_latency_ns() const;
    /// Returns the weight of the averages in \a observed, which decays from 1
    /// to 0.
    double weight(const stats& observed) const;
    double decayed_latency_ns(const stats& observed) const;
    void decay(stats& observed) const;

    std::unordered_map<target_incarnation, stats> m_stats;
    random_source m_random;
    double m_mean_ns = 0;
    double m_deviation_ns = 0;
    std::uint64_t m_answers = 0; ///< From all targets.
};

} // namespace mangofold::decision
