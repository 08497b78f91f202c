#pragma once

#include "decision/prompt_homes.hpp"
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

/// A generation to be placed at a model engine.
struct generation
{
    std::vector<shared_part> prompt;
    /// Bytes of stage results that the engine fetches, by zone.
    std::map<std::string, std::uint64_t> inputs;

    friend bool operator==(const generation&, const generation&) = default;
};

/// Chooses engines by the prompt tokens that they would have to read before
/// the first token: those of the prompt they do not keep, and those ahead.
class engine_choice
{
public:
    /// Returns the engine for \a work among \a candidates, leaving out those
    /// in \a tried; nothing where none is left.
    const listed_target*
    choose(const std::vector<const listed_target*>& candidates,
           const std::set<target_incarnation>& tried, const generation& work,
           const std::string& zone, instant now);

    /// Notes that \a work was sent to \a id. Returns the tokens it adds
    /// there.
    double note_sent(const target_incarnation& id, const generation& work,
                     instant now);

    /// Notes that the prompt was read: \a tokens are no longer ahead.
    void note_read(const target_incarnation& id, double tokens);

    void note_ended(const target_incarnation& id);

    /// Notes that \a id gave no answer or refused.
    void note_failed(const target_incarnation& id, bool is_refusal,
                     instant now);

    void note_answered(const target_incarnation& id);

    /// Returns the tokens of \a work that \a id would have to read.
    double uncached(const target_incarnation& id, const generation& work,
                    instant now) const;

private:
    struct engine
    {
        double ahead = 0; ///< Tokens sent there and not read yet.
        std::uint32_t running = 0;
        std::uint32_t failures = 0;
        instant aside_until{};
        std::unordered_map<std::string, instant> kept; ///< Parts, last use.
    };

    void forget_old(engine& one, instant now);

    std::unordered_map<target_incarnation, engine> m_engines;
    prompt_homes m_homes;
};

} // namespace mangofold::decision
