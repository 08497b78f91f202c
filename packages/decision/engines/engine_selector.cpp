#include "decision/engines/engine_selector.hpp"

#include <algorithm>
#include <functional>

namespace mangofold::decision
{

namespace
{

/// How long a segment is assumed to stay in an engine's cache after its last
/// use. Engines evict the least recently used segments first.
constexpr duration cache_lifetime = std::chrono::seconds(30);

/// Number of recorded segments of an engine from which old ones are pruned.
constexpr std::size_t prune_threshold = 2048;

/// Cost of a running generation to a new one, in prefill tokens: its share of
/// each step of the engine.
constexpr double running_cost = 60;

/// Time for each byte that an engine fetches from another zone, in
/// milliseconds: 22 ms for a megabyte. Large results then stay in their zone
/// where that costs little extra prefill.
constexpr double cross_zone_byte_ms = 22.0 / (1 << 20U);

/// Time of the round trip to another zone, in milliseconds.
constexpr double remote_zone_ms = 150 * 22.0 / 800;

/// Cost of an engine that is backed off: chosen only if all candidates are.
constexpr double backed_off_ms = 1e9;

/// Share of the prompt's shared tokens that count as cached at the engine that
/// all entries prefer for them: other entries may have sent the tokens to it.
constexpr double affinity_hit_share = 0.6;

double milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Time of a generation that is assumed before any has ended.
constexpr duration initial_generation_time = std::chrono::seconds(1);

constexpr duration initial_backoff = std::chrono::milliseconds(300);
constexpr std::uint32_t max_backoff_doublings = 4;

} // namespace

double engine_selector::uncached_tokens(const target_incarnation& target,
                                        const generation_request& work,
                                        instant now) const
{
    const auto found = m_engines.find(target);
    double tokens = 0;
    bool is_cached = found != m_engines.end();
    for (const prompt_segment& segment : work.prompt)
    {
        if (is_cached)
        {
            const auto cached = found->second.last_used.find(segment.id);
            is_cached = cached != found->second.last_used.end() &&
                        cached->second + cache_lifetime > now;
        }
        if (!is_cached)
            tokens += segment.tokens;
    }
    return tokens;
}

// Running generations end evenly distributed over the time of one, and free
// what they hold.
double engine_selector::capacity_wait_ms(const engine_state& engine,
                                         const generation_request& work,
                                         double prefill_tokens) const
{
    double missing_share = 0; // Of what the running generations hold.
    const engine_limits& limits = work.limits;
    if (limits.slots > 0 && engine.running >= limits.slots)
        missing_share = static_cast<double>(engine.running - limits.slots + 1) /
                        engine.running;
    const double excess = engine.held_tokens + prefill_tokens +
                          work.max_output_tokens -
                          static_cast<double>(limits.memory_tokens);
    if (limits.memory_tokens > 0 && excess > 0 && engine.held_tokens > 0)
        missing_share =
            std::max(missing_share, std::min(1.0, excess / engine.held_tokens));
    const auto known = m_generation_times.find(work.service);
    const duration mean = known == m_generation_times.end()
                              ? initial_generation_time
                              : known->second.mean();
    return missing_share * milliseconds(mean);
}

double engine_selector::expected_ms(const listed_target& target,
                                    const generation_request& work,
                                    double prefill_tokens, instant now) const
{
    double tokens = prefill_tokens;
    double ms = 0;
    const auto known = m_engines.find(target.incarnation);
    if (known != m_engines.end())
    {
        const engine_state& engine = known->second;
        tokens += engine.queued_tokens + running_cost * engine.running;
        ms += capacity_wait_ms(engine, work, prefill_tokens);
        if (engine.backoff_until > now)
            ms += backed_off_ms;
    }
    ms += m_pace.pace(target.incarnation, now) *
          (milliseconds(m_pace.fixed_time(work.service)) +
           tokens * milliseconds(m_pace.time_per_token(work.service)));
    for (const auto& [source_zone, bytes] : work.inputs)
        if (source_zone != target.zone)
            ms += cross_zone_byte_ms * static_cast<double>(bytes);
    return ms;
}

// Segments used often enough for several engines are certainly cached at each
// of them; an engine to which this entry has sent the segments before must not
// attract all of the entry's requests. The preference for an engine is a time
// at the average pace: a slow or busy engine loses the request once the time
// that it would take longer is worth more than the cached segments.
const listed_target*
engine_selector::choose(const std::vector<const listed_target*>& candidates,
                        const std::set<target_incarnation>& tried,
                        const generation_request& work, const std::string& zone,
                        instant now)
{
    const prompt_affinity::preference preferred =
        m_affinity.preferred_engine(candidates, work.prompt, now);
    double shared_tokens = 0;
    for (std::size_t index = 0; index + 1 < work.prompt.size(); ++index)
        shared_tokens += work.prompt[index].tokens;
    const double preference_ms =
        affinity_hit_share * shared_tokens *
        milliseconds(m_pace.time_per_token(work.service));
    const listed_target* best = nullptr;
    double least = 0;
    for (const listed_target* candidate : candidates)
    {
        if (tried.contains(candidate->incarnation))
            continue;
        const bool is_preferred = candidate == preferred.engine;
        const double prefill =
            is_preferred && preferred.is_replicated
                ? work.prompt.back().tokens
                : uncached_tokens(candidate->incarnation, work, now);
        double cost = expected_ms(*candidate, work, prefill, now);
        if (is_preferred)
            cost -= preference_ms;
        if (candidate->zone != zone)
            cost += remote_zone_ms;
        if (best != nullptr && cost >= least)
            continue;
        best = candidate;
        least = cost;
    }
    return best;
}

void engine_selector::prune(engine_state& engine, instant now)
{
    if (engine.last_used.size() < prune_threshold)
        return;
    std::erase_if(engine.last_used, [now](const auto& segment)
                  { return segment.second + cache_lifetime <= now; });
}

double engine_selector::note_sent(const target_incarnation& target,
                                  const generation_request& work, instant now)
{
    const double tokens = uncached_tokens(target, work, now);
    engine_state& engine = m_engines[target];
    prune(engine, now);
    for (const prompt_segment& segment : work.prompt)
        engine.last_used[segment.id] = now;
    engine.queued_tokens += tokens;
    engine.held_tokens += tokens + work.max_output_tokens;
    ++engine.running;
    engine.last_sent_at = now;
    m_affinity.note_placed(work.prompt, tokens + running_cost, now);
    return tokens;
}

void engine_selector::note_prompt_read(const target_incarnation& target,
                                       double tokens)
{
    engine_state& engine = m_engines[target];
    engine.queued_tokens = std::max(0.0, engine.queued_tokens - tokens);
}

awaited_first_event
engine_selector::await_first_event(const target_incarnation& target,
                                   const generation_request& work, instant now)
{
    return m_pace.note_sent(work.service, target,
                            m_engines[target].queued_tokens, now);
}

void engine_selector::note_first_event(const target_incarnation& target,
                                       const awaited_first_event& awaited,
                                       duration took, instant now)
{
    m_pace.note_first_event(target, awaited, took, now);
    note_answered(target);
}

void engine_selector::note_abandoned(const target_incarnation& target,
                                     const awaited_first_event& awaited)
{
    m_pace.note_abandoned(target, awaited);
}

void engine_selector::note_ended(const target_incarnation& target,
                                 double tokens)
{
    engine_state& engine = m_engines[target];
    engine.running -= engine.running > 0 ? 1 : 0;
    engine.held_tokens = std::max(0.0, engine.held_tokens - tokens);
}

void engine_selector::note_generation_time(const std::string& service,
                                           duration took)
{
    m_generation_times
        .try_emplace(service, moving_mean(initial_generation_time))
        .first->second.add(took);
}

void engine_selector::note_failed(const target_incarnation& target,
                                  bool is_refusal, instant now)
{
    engine_state& engine = m_engines[target];
    if (!is_refusal)
        engine.last_used.clear();
    engine.consecutive_failures += 1;
    const std::uint32_t doublings =
        std::min(engine.consecutive_failures - 1, max_backoff_doublings);
    engine.backoff_until = now + initial_backoff * (1U << doublings);
}

void engine_selector::note_answered(const target_incarnation& target)
{
    engine_state& engine = m_engines[target];
    engine.consecutive_failures = 0;
    engine.backoff_until = {};
}

void engine_selector::expire(instant now)
{
    std::erase_if(m_engines,
                  [now](const auto& known)
                  {
                      const engine_state& engine = known.second;
                      return engine.running == 0 &&
                             engine.last_sent_at + cache_lifetime <= now &&
                             engine.backoff_until <= now;
                  });
    m_pace.expire(now);
}

bool engine_selector::is_backed_off(const target_incarnation& target,
                                    instant now) const
{
    const auto known = m_engines.find(target);
    return known != m_engines.end() && known->second.backoff_until > now;
}

} // namespace mangofold::decision
