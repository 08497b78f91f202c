#include "decision/target_health.hpp"

#include "decision/declared_slots.hpp"

#include <algorithm>
#include <cmath>

namespace mangofold::decision
{

namespace
{

/// Weight of the newest response in a target's averages: a target that became
/// slow shows after about five responses.
constexpr double sample_weight = 0.2;

/// Cost factor of a target with a failure rate of 1, relative to its latency:
/// a failed request is sent once more, and waits for the second response.
constexpr double failure_cost = 4;

/// How long a target is ejected after unanswered requests, doubled with each
/// further one in a row; a crashed target is back within seconds.
constexpr duration initial_ejection = std::chrono::milliseconds(250);
constexpr std::uint32_t max_doublings = 4;

/// How long a target that refused a request is skipped: the time of a few short
/// requests.
constexpr duration refusal_ejection = std::chrono::milliseconds(40);

/// Expected latency of a target before the first response of any target.
constexpr double default_latency_ns = 2e7;

/// Cost factor of a request to another zone, for the round trip.
constexpr double cross_zone_factor = 1.1;

/// After this many responses of any targets, a target's averages count half. A
/// target that was five times slower then gets one request in a hundred, which
/// shows whether it has recovered. Since the decay counts responses, these
/// trials affect the same share of requests at any load.
constexpr double half_life_answers = 20;

/// Random spread of the costs, so that entries with the same observations do
/// not all choose the same target.
constexpr double jitter = 0.15;

/// Responses needed before their deviation is used.
constexpr std::uint64_t min_answers = 50;

} // namespace

void target_health::note_answered(const target_incarnation& target,
                                  duration latency, bool is_failure)
{
    stats& observed = m_stats[target];
    observed.in_flight -= observed.in_flight > 0 ? 1 : 0;
    observed.consecutive_unanswered = 0;
    observed.ejected_until = {};
    const auto ns = static_cast<double>(latency.count());
    decay(observed);
    observed.latency_ns =
        observed.latency_ns == 0
            ? ns
            : observed.latency_ns + sample_weight * (ns - observed.latency_ns);
    observed.failure_rate +=
        sample_weight * ((is_failure ? 1 : 0) - observed.failure_rate);
    ++m_answers;
    constexpr double mean_weight = 0.02; // Covers about the last fifty.
    m_mean_ns =
        m_answers == 1 ? ns : m_mean_ns + mean_weight * (ns - m_mean_ns);
    m_deviation_ns += mean_weight * (std::abs(ns - m_mean_ns) - m_deviation_ns);
}

void target_health::note_refused(const target_incarnation& target, instant now)
{
    stats& observed = m_stats[target];
    observed.in_flight -= observed.in_flight > 0 ? 1 : 0;
    observed.ejected_until =
        std::max(observed.ejected_until, now + refusal_ejection);
}

void target_health::note_no_answer(const target_incarnation& target,
                                   instant now)
{
    stats& observed = m_stats[target];
    observed.in_flight -= observed.in_flight > 0 ? 1 : 0;
    decay(observed);
    observed.failure_rate += sample_weight * (1 - observed.failure_rate);
    observed.consecutive_unanswered += 1;
    // One lost response says little; after two in a row the target is assumed
    // to be down.
    if (observed.consecutive_unanswered < 2)
        return;
    const std::uint32_t doublings =
        std::min(observed.consecutive_unanswered - 2, max_doublings);
    observed.ejected_until = now + initial_ejection * (1U << doublings);
}

void target_health::note_abandoned(const target_incarnation& target)
{
    stats& observed = m_stats[target];
    observed.in_flight -= observed.in_flight > 0 ? 1 : 0;
}

std::uint32_t target_health::in_flight(const target_incarnation& target) const
{
    const auto found = m_stats.find(target);
    return found == m_stats.end() ? 0 : found->second.in_flight;
}

bool target_health::is_ejected(const target_incarnation& target,
                               instant now) const
{
    const auto found = m_stats.find(target);
    return found != m_stats.end() && found->second.ejected_until > now;
}

double target_health::mean_latency_ns() const
{
    return m_answers == 0 ? default_latency_ns : m_mean_ns;
}

double target_health::weight(const stats& observed) const
{
    const auto since = static_cast<double>(m_answers - observed.updated_at);
    return std::exp2(-since / half_life_answers);
}

void target_health::decay(stats& observed) const
{
    observed.latency_ns = decayed_latency_ns(observed);
    observed.failure_rate *= weight(observed);
    observed.updated_at = m_answers;
}

double target_health::decayed_latency_ns(const stats& observed) const
{
    if (observed.latency_ns <= mean_latency_ns())
        return observed.latency_ns;
    return mean_latency_ns() +
           weight(observed) * (observed.latency_ns - mean_latency_ns());
}

double target_health::expected_ns(const listed_target& target,
                                  std::uint32_t max_slots,
                                  const std::string& zone, instant now,
                                  bool may_probe) const
{
    stats observed;
    const auto found = m_stats.find(target.incarnation);
    if (found != m_stats.end())
        observed = found->second;
    // A slow or failing target gets no requests while others do better, so
    // without the decay its averages would never be updated.
    if (may_probe)
        decay(observed);
    const double latency =
        observed.latency_ns > 0 ? observed.latency_ns : mean_latency_ns();
    const double slots = std::clamp<std::uint32_t>(target.slots, 1, max_slots);
    double expected = latency * (1 + observed.in_flight / slots) *
                      (1 + failure_cost * observed.failure_rate);
    if (target.zone != zone)
        expected *= cross_zone_factor;
    if (observed.ejected_until > now)
        expected += 1e12; // Only chosen if all are ejected.
    return expected;
}

const listed_target*
target_health::choose(const std::vector<const listed_target*>& candidates,
                      const std::set<target_incarnation>& tried,
                      const std::string& zone, instant now, bool may_probe)
{
    const listed_target* best = nullptr;
    double best_expected = 0;
    const std::uint32_t max_slots = max_counted_slots(candidates);
    for (const listed_target* candidate : candidates)
    {
        if (tried.contains(candidate->incarnation))
            continue;
        const double expected =
            expected_ns(*candidate, max_slots, zone, now, may_probe) *
            (1 + jitter * m_random.fraction());
        if (best != nullptr && expected >= best_expected)
            continue;
        best = candidate;
        best_expected = expected;
    }
    return best;
}

std::optional<duration> target_health::usual_max_latency() const
{
    if (m_answers < min_answers)
        return std::nullopt;
    constexpr double deviations = 6;
    return duration(
        static_cast<duration::rep>(m_mean_ns + deviations * m_deviation_ns));
}

} // namespace mangofold::decision
