#include "decision/target_health.hpp"

#include <algorithm>
#include <cmath>

namespace mangofold::decision
{

namespace
{

/// Weight of the newest answer in a target's averages: a target that turned
/// slow shows after about five answers.
constexpr double newest_weight = 0.2;

/// A target that fails is expected to cost this many times more, at a failure
/// share of 1: the request is sent once more, and waits for that.
constexpr double failure_cost = 4;

/// How long a target is set aside after a silence, doubled with each one in a
/// row; a crashed target is back within seconds.
constexpr duration first_aside = std::chrono::milliseconds(250);
constexpr std::uint32_t most_doublings = 4;

/// How long a target that refused is left alone: a few short requests' time.
constexpr duration refused_aside = std::chrono::milliseconds(40);

/// Before the first answer a target is expected to take this.
constexpr double unknown_ns = 2e7;

/// The way to another zone and back, as a share of a request's time.
constexpr double other_zone_cost = 1.1;

/// After so many answers of other targets, what was seen of one counts half.
/// A target that was five times slower gets one request in a hundred then,
/// which shows whether it is well again; counted in answers, the trials cost
/// the same share of the callers whatever the load.
constexpr double answers_to_half = 20;

/// Spread of the choice, so that entries that see the same do not all choose
/// the same target.
constexpr double jitter = 0.15;

/// Answers before their spread is trusted.
constexpr std::uint64_t enough_answers = 50;

} // namespace

void target_standing::note_answered(const target_start& id, duration took,
                                    bool is_failure)
{
    sight& seen = m_seen[id];
    seen.in_flight -= seen.in_flight > 0 ? 1 : 0;
    seen.silences = 0;
    seen.aside_until = {};
    const auto ns = static_cast<double>(took.count());
    age(seen);
    seen.took_ns = seen.took_ns == 0
                       ? ns
                       : seen.took_ns + newest_weight * (ns - seen.took_ns);
    seen.failing += newest_weight * ((is_failure ? 1 : 0) - seen.failing);
    ++m_answers;
    constexpr double weight = 0.02; // About fifty answers' memory.
    m_mean_ns = m_answers == 1 ? ns : m_mean_ns + weight * (ns - m_mean_ns);
    m_deviation_ns += weight * (std::abs(ns - m_mean_ns) - m_deviation_ns);
}

void target_standing::note_refused(const target_start& id, instant now)
{
    sight& seen = m_seen[id];
    seen.in_flight -= seen.in_flight > 0 ? 1 : 0;
    seen.aside_until = std::max(seen.aside_until, now + refused_aside);
}

void target_standing::note_silent(const target_start& id, instant now)
{
    sight& seen = m_seen[id];
    seen.in_flight -= seen.in_flight > 0 ? 1 : 0;
    age(seen);
    seen.failing += newest_weight * (1 - seen.failing);
    seen.silences += 1;
    // One lost answer says little; two in a row say that nobody is there.
    if (seen.silences < 2)
        return;
    const std::uint32_t doublings = std::min(seen.silences - 2, most_doublings);
    seen.aside_until = now + first_aside * (1U << doublings);
}

void target_standing::note_left(const target_start& id)
{
    sight& seen = m_seen[id];
    seen.in_flight -= seen.in_flight > 0 ? 1 : 0;
}

std::uint32_t target_standing::in_flight(const target_start& id) const
{
    const auto found = m_seen.find(id);
    return found == m_seen.end() ? 0 : found->second.in_flight;
}

bool target_standing::is_aside(const target_start& id, instant now) const
{
    const auto found = m_seen.find(id);
    return found != m_seen.end() && found->second.aside_until > now;
}

double target_standing::usual_ns() const
{
    return m_answers == 0 ? unknown_ns : m_mean_ns;
}

double target_standing::weight_of(const sight& seen) const
{
    const auto since = static_cast<double>(m_answers - seen.seen_at);
    return std::exp2(-since / answers_to_half);
}

void target_standing::age(sight& seen) const
{
    seen.took_ns = aged_ns(seen);
    seen.failing *= weight_of(seen);
    seen.seen_at = m_answers;
}

double target_standing::aged_ns(const sight& seen) const
{
    if (seen.took_ns <= usual_ns())
        return seen.took_ns;
    return usual_ns() + weight_of(seen) * (seen.took_ns - usual_ns());
}

double target_standing::expected_ns(const listed_target& target,
                                    const std::string& zone, instant now,
                                    bool may_try) const
{
    sight seen;
    const auto found = m_seen.find(target.start);
    if (found != m_seen.end())
        seen = found->second;
    // A target that was slow or failing is not sent anything while others do
    // better, so nothing new would ever be seen of it.
    if (may_try)
        age(seen);
    const double took = seen.took_ns > 0 ? seen.took_ns : usual_ns();
    const double slots = std::max<std::uint32_t>(target.slots, 1);
    double expected =
        took * (1 + seen.in_flight / slots) * (1 + failure_cost * seen.failing);
    if (target.zone != zone)
        expected *= other_zone_cost;
    if (seen.aside_until > now)
        expected += 1e12; // Only where all are set aside.
    return expected;
}

const listed_target*
target_standing::choose(const std::vector<const listed_target*>& candidates,
                        const std::set<target_start>& tried,
                        const std::string& zone, instant now, bool may_try)
{
    const listed_target* best = nullptr;
    double least = 0;
    for (const listed_target* one : candidates)
    {
        if (tried.contains(one->start))
            continue;
        const double expected = expected_ns(*one, zone, now, may_try) *
                                (1 + jitter * m_random.fraction());
        if (best != nullptr && expected >= least)
            continue;
        best = one;
        least = expected;
    }
    return best;
}

std::optional<duration> target_standing::usual_longest() const
{
    if (m_answers < enough_answers)
        return std::nullopt;
    constexpr double deviations = 6;
    return duration(
        static_cast<duration::rep>(m_mean_ns + deviations * m_deviation_ns));
}

} // namespace mangofold::decision
