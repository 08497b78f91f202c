#pragma once

#include "decision/engines/engine_pace.hpp"
#include "decision/engines/prompt_affinity.hpp"
#include "decision/moving_mean.hpp"
#include "decision/target_directory.hpp"
#include "decision/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangofold::decision
{

/// What one engine of a service can hold; 0 is unknown.
struct engine_limits
{
    std::uint32_t slots = 0;         ///< Generations that run concurrently.
    std::uint64_t memory_tokens = 0; ///< Prompt and output tokens.

    friend bool operator==(const engine_limits&,
                           const engine_limits&) = default;
};

/// A text generation to be placed at a model engine.
struct generation_request
{
    std::vector<prompt_segment> prompt;
    /// Bytes of stage results that the engine fetches, by zone.
    std::map<std::string, std::uint64_t> inputs;
    std::string service{};
    std::uint32_t max_output_tokens = 0;
    engine_limits limits{};

    friend bool operator==(const generation_request&,
                           const generation_request&) = default;
};

/// Selects the model engine for a generation.
///
/// An engine's cost is the expected time to the first output token: reading
/// (prefill) the tokens of the prompt that are not in its cache and those of
/// the generations queued ahead, at the engine's pace, and fetching inputs and
/// the request itself from another zone. An engine without a free slot or
/// memory costs the expected wait for it, too.
class engine_selector
{
public:
    /// Returns the engine for \a work among \a candidates, leaving out those
    /// in \a tried; null if none is left.
    const listed_target*
    choose(const std::vector<const listed_target*>& candidates,
           const std::set<target_incarnation>& tried,
           const generation_request& work, const std::string& zone,
           instant now);

    /// Records that \a work was sent to \a target. Returns the prefill tokens
    /// that \a work adds at \a target.
    double note_sent(const target_incarnation& target,
                     const generation_request& work, instant now);

    /// Records that \a target has read a prompt: \a tokens are no longer
    /// queued.
    void note_prompt_read(const target_incarnation& target, double tokens);

    /// Returns what is expected of the first event of \a work, for which
    /// note_sent() was called just now.
    awaited_first_event await_first_event(const target_incarnation& target,
                                          const generation_request& work,
                                          instant now);

    /// Notes that the first event arrived, \a took after the request was sent.
    void note_first_event(const target_incarnation& target,
                          const awaited_first_event& awaited, duration took,
                          instant now);

    /// Notes that the first event is not awaited any longer.
    void note_abandoned(const target_incarnation& target,
                        const awaited_first_event& awaited);

    /// Notes that a generation has ended, which held \a tokens in the memory of
    /// \a target.
    void note_ended(const target_incarnation& target, double tokens = 0);

    /// Notes how long a complete generation of \a service took.
    void note_generation_time(const std::string& service, duration took);

    /// Records that \a target did not answer, or that it refused the request.
    void note_failed(const target_incarnation& target, bool is_refusal,
                     instant now);

    void note_answered(const target_incarnation& target);

    /// Whether \a target gets nothing for a while after a failure.
    bool is_backed_off(const target_incarnation& target, instant now) const;

    /// Removes the engines that run nothing and have had nothing for so long
    /// that nothing is cached there, such as those that have ended.
    void expire(instant now);

    /// Returns the number of engines that are recorded.
    std::size_t size() const { return m_engines.size(); }

    engine_pace& pace() { return m_pace; }
    const engine_pace& pace() const { return m_pace; }

    /// Returns the tokens of \a work that \a target would have to prefill,
    /// estimated from what this entry has sent to \a target.
    double uncached_tokens(const target_incarnation& target,
                           const generation_request& work, instant now) const;

private:
    struct engine_state
    {
        double queued_tokens = 0;  ///< Sent there and not read yet.
        double held_tokens = 0;    ///< In memory, for running generations.
        std::uint32_t running = 0; ///< Generations.
        std::uint32_t consecutive_failures = 0;
        instant backoff_until{};
        instant last_sent_at{};
        std::unordered_map<std::string, instant> last_used; ///< By segment id.
    };

    void prune(engine_state& engine, instant now);
    double capacity_wait_ms(const engine_state& engine,
                            const generation_request& work,
                            double prefill_tokens) const;
    double expected_ms(const listed_target& target,
                       const generation_request& work, double prefill_tokens,
                       instant now) const;

    std::unordered_map<target_incarnation, engine_state> m_engines;
    prompt_affinity m_affinity;
    engine_pace m_pace;
    std::map<std::string, moving_mean> m_generation_times; ///< By service.
};

} // namespace mangofold::decision
