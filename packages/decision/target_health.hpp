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

/// What one process has seen of the targets that it sends requests to, and
/// which of them it prefers.
class target_standing
{
public:
    explicit target_standing(std::uint64_t seed) : m_random(seed) {}

    void note_sent(const target_start& id) { ++m_seen[id].in_flight; }

    /// Notes that a send to \a id ended well after \a took, or with the
    /// target's own failure.
    void note_answered(const target_start& id, duration took, bool is_failure);

    /// Notes that \a id refused without running anything.
    void note_refused(const target_start& id, instant now);

    /// Notes that a send to \a id got no answer.
    void note_silent(const target_start& id, instant now);

    /// Notes that a send to \a id was given up by the caller.
    void note_left(const target_start& id);

    /// Returns the target among \a candidates where a request should go, by
    /// expected time; nothing where there is none left out of \a tried.
    /// \a may_try allows targets that did badly a while ago: a request that
    /// may be repeated loses little by it.
    const listed_target*
    choose(const std::vector<const listed_target*>& candidates,
           const std::set<target_start>& tried, const std::string& zone,
           instant now, bool may_try = true);

    std::uint32_t in_flight(const target_start& id) const;

    /// Returns the time in which nearly all answers come, or nothing before
    /// enough came.
    std::optional<duration> usual_longest() const;

    /// Whether \a id is set aside after failures.
    bool is_aside(const target_start& id, instant now) const;

private:
    struct sight
    {
        std::uint32_t in_flight = 0;
        double took_ns = 0;         ///< Moving average; 0 before the first.
        double failing = 0;         ///< Moving share of failures.
        std::uint32_t silences = 0; ///< In a row.
        instant aside_until{};
        std::uint64_t seen_at = 0; ///< Answers of all, when one came last.
    };

    double expected_ns(const listed_target& target, const std::string& zone,
                       instant now, bool may_try) const;
    double usual_ns() const;
    /// Returns what what was seen still counts, from 1 down to 0.
    double weight_of(const sight& seen) const;
    double aged_ns(const sight& seen) const;
    void age(sight& seen) const;

    std::unordered_map<target_start, sight> m_seen;
    random_source m_random;
    double m_mean_ns = 0;
    double m_deviation_ns = 0;
    std::uint64_t m_answers = 0;
};

} // namespace mangofold::decision
