#include "decision/engines/engine_pace.hpp"

#include <algorithm>
#include <cmath>

namespace mangofold::decision
{

namespace
{

/// Times assumed before any sample: engines read 25 to 70 tokens in a
/// millisecond, and need 20 to 110 ms in addition.
constexpr double initial_fixed_ms = 60;
constexpr double initial_ms_per_token = 22.0 / 800;

/// Bounds of the learned averages, so that a few odd samples can't make them
/// absurd.
constexpr double min_fixed_ms = 1;
constexpr double max_fixed_ms = 500;
constexpr double min_ms_per_token = 0.002;
constexpr double max_ms_per_token = 1;

/// The assumed times count as this many samples of both sizes.
constexpr double initial_samples = 10;
constexpr double initial_sample_tokens = 8000;

/// Decay of the sums of a service with each sample: about the last thousand
/// count.
constexpr double sample_decay = 0.999;

/// Time in which the samples of an engine decay to 1/e. After a minute less
/// than a hundredth of their weight is left.
constexpr duration decay_time = std::chrono::seconds(8);

/// The age at which the last sample of an engine is forgotten.
constexpr duration sample_lifetime = std::chrono::minutes(1);

/// Weight of the assumption that an engine has the average pace, as expected
/// time: about that of two generations.
constexpr double assumed_ms = 300;

/// Weight of a pace that another entry reports, as expected time: that entry
/// has seen the generations of many entries.
constexpr double reported_ms = 3000;

/// A first event is overdue when it takes this multiple of the expected time
/// and at least this much longer than expected.
constexpr double overdue_factor = 1.5;
constexpr duration min_overdue = std::chrono::milliseconds(150);

/// Factor on the pace of an engine with an overdue first event: engines take
/// 2.5 times as long in their slow periods.
constexpr double overdue_pace = 2.5;

double milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

duration from_milliseconds(double value)
{
    return duration(static_cast<duration::rep>(value * 1e6));
}

double decay_factor(duration age)
{
    return std::exp(-std::max(milliseconds(age), 0.0) /
                    milliseconds(decay_time));
}

} // namespace

engine_pace::service_times::service_times()
{
    for (const double size : {0.0, initial_sample_tokens})
    {
        const double time = initial_fixed_ms + initial_ms_per_token * size;
        weight += initial_samples;
        tokens += initial_samples * size;
        ms += initial_samples * time;
        squared_tokens += initial_samples * size * size;
        tokens_ms += initial_samples * size * time;
    }
    fixed_ms = initial_fixed_ms;
    ms_per_token = initial_ms_per_token;
}

void engine_pace::service_times::add(double sample_tokens, double sample_ms)
{
    for (double* sum : {&weight, &tokens, &ms, &squared_tokens, &tokens_ms})
        *sum *= sample_decay;
    weight += 1;
    tokens += sample_tokens;
    ms += sample_ms;
    squared_tokens += sample_tokens * sample_tokens;
    tokens_ms += sample_tokens * sample_ms;
    fit();
}

// Where all samples have about the same size, the slope is undetermined and the
// last one is kept.
void engine_pace::service_times::fit()
{
    const double mean_tokens = tokens / weight;
    const double mean_ms = ms / weight;
    const double variance = squared_tokens / weight - mean_tokens * mean_tokens;
    constexpr double min_deviation = 100;
    if (variance > min_deviation * min_deviation)
        ms_per_token =
            std::clamp((tokens_ms / weight - mean_tokens * mean_ms) / variance,
                       min_ms_per_token, max_ms_per_token);
    fixed_ms = std::clamp(mean_ms - ms_per_token * mean_tokens, min_fixed_ms,
                          max_fixed_ms);
}

void engine_pace::engine::decay(instant now)
{
    const double factor = decay_factor(now - updated_at);
    expected_ms *= factor;
    actual_ms *= factor;
    updated_at = std::max(updated_at, now);
}

// An event shows that the engine works again; first events that were overdue
// before it say nothing more.
bool engine_pace::engine::is_overdue(instant now) const
{
    const auto first = overdue_at.upper_bound(last_event_at);
    return first != overdue_at.end() && *first <= now;
}

double engine_pace::learned_pace(const engine& observed, instant now)
{
    const double factor = decay_factor(now - observed.updated_at);
    return std::clamp((assumed_ms + observed.actual_ms * factor) /
                          (assumed_ms + observed.expected_ms * factor),
                      min_pace, max_pace);
}

double engine_pace::pace(const target_incarnation& target, instant now) const
{
    const auto found = m_engines.find(target);
    if (found == m_engines.end())
        return 1;
    const double learned = learned_pace(found->second, now);
    return found->second.is_overdue(now)
               ? std::min(learned * overdue_pace, max_pace)
               : learned;
}

double engine_pace::learned_pace(const target_incarnation& target,
                                 instant now) const
{
    const auto found = m_engines.find(target);
    return found == m_engines.end() ? 1 : learned_pace(found->second, now);
}

duration engine_pace::time_per_token(const std::string& service) const
{
    const auto found = m_services.find(service);
    return from_milliseconds(found == m_services.end()
                                 ? initial_ms_per_token
                                 : found->second.ms_per_token);
}

duration engine_pace::fixed_time(const std::string& service) const
{
    const auto found = m_services.find(service);
    return from_milliseconds(
        found == m_services.end() ? initial_fixed_ms : found->second.fixed_ms);
}

awaited_first_event engine_pace::note_sent(const std::string& service,
                                           const target_incarnation& target,
                                           double tokens, instant now)
{
    engine& receiver = m_engines[target];
    const duration average =
        fixed_time(service) +
        from_milliseconds(milliseconds(time_per_token(service)) * tokens);
    const duration expected =
        from_milliseconds(milliseconds(average) * learned_pace(receiver, now));
    const duration overdue =
        std::max(from_milliseconds(milliseconds(expected) * overdue_factor),
                 expected + min_overdue);
    receiver.overdue_at.insert(now + overdue);
    return {service, tokens, average, now + overdue};
}

void engine_pace::remove(engine& observed, instant overdue_at)
{
    const auto found = observed.overdue_at.find(overdue_at);
    if (found != observed.overdue_at.end())
        observed.overdue_at.erase(found);
}

void engine_pace::note_first_event(const target_incarnation& target,
                                   const awaited_first_event& awaited,
                                   duration took, instant now)
{
    engine& sender = m_engines[target];
    remove(sender, awaited.overdue_at);
    sender.last_event_at = std::max(sender.last_event_at, now);
    sender.decay(now);
    const double expected_ms = milliseconds(awaited.expected);
    const double actual_ms = std::clamp(
        milliseconds(took), expected_ms * min_pace, expected_ms * max_pace);
    sender.expected_ms += expected_ms;
    sender.actual_ms += actual_ms;
    m_services[awaited.service].add(awaited.tokens, actual_ms);
}

void engine_pace::note_abandoned(const target_incarnation& target,
                                 const awaited_first_event& awaited)
{
    const auto found = m_engines.find(target);
    if (found != m_engines.end())
        remove(found->second, awaited.overdue_at);
}

void engine_pace::note_reported(const target_incarnation& target, double pace,
                                instant now)
{
    if (!(pace >= min_pace && pace <= max_pace))
        return;
    engine& reported = m_engines[target];
    reported.expected_ms = reported_ms;
    reported.actual_ms = pace * (reported_ms + assumed_ms) - assumed_ms;
    reported.updated_at = now;
}

void engine_pace::expire(instant now)
{
    std::erase_if(m_engines,
                  [now](const auto& known)
                  {
                      return known.second.overdue_at.empty() &&
                             known.second.updated_at + sample_lifetime < now;
                  });
}

std::pair<double, double> engine_pace::range(instant now) const
{
    if (m_engines.empty())
        return {1, 1};
    std::pair<double, double> range{max_pace, min_pace};
    for (const auto& [target, observed] : m_engines)
    {
        const double learned = learned_pace(observed, now);
        range.first = std::min(range.first, learned);
        range.second = std::max(range.second, learned);
    }
    return range;
}

} // namespace mangofold::decision
