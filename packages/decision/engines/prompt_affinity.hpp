#pragma once

#include "decision/target_directory.hpp"
#include "decision/time.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangofold::decision
{

/// A consecutive part of a prompt, which engines cache as a unit.
struct prompt_segment
{
    std::string id;
    std::uint32_t tokens = 0;

    friend bool operator==(const prompt_segment&,
                           const prompt_segment&) = default;
};

/// Prompt cache affinity: decides which engines should cache the segments that
/// prompts share, so that all entries choose the same engines without
/// communicating.
///
/// The engines of a segment are the first ones in an order that depends on the
/// segment's id alone. Their number follows from the segment's share of the
/// load that this entry has placed recently, which approximates its share of
/// the load of all entries. The requests that one entry has in progress at an
/// engine would say little about the engine's load where hundreds of entries
/// use it.
class prompt_affinity
{
public:
    /// Records that a generation with \a prompt was placed at \a now and costs
    /// the engine \a tokens of prefill.
    void note_placed(const std::vector<prompt_segment>& prompt, double tokens,
                     instant now);

    /// The engine that should cache the shared segments of a prompt.
    struct preference
    {
        const listed_target* engine = nullptr; ///< Null if nothing is shared.
        bool is_replicated = false; ///< Several engines cache the segments.

        friend bool operator==(const preference&, const preference&) = default;
    };

    /// Returns which of \a engines should cache the shared segments of
    /// \a prompt. The last segment is taken to belong to the request alone or
    /// to its session.
    preference
    preferred_engine(const std::vector<const listed_target*>& engines,
                     const std::vector<prompt_segment>& prompt,
                     instant now) const;

private:
    /// A sum whose terms decay exponentially with their age.
    struct decaying_sum
    {
        double weight = 0;
        instant at{};

        double value(instant now) const;
        void add(double amount, instant now);
    };

    double load_share(const std::string& segment, instant now) const;
    std::size_t replica_count(const std::string& segment,
                              std::size_t engine_count, instant now) const;
    void prune(instant now);

    decaying_sum m_tokens;      ///< Of all generations.
    decaying_sum m_generations; ///< Number of generations.
    std::unordered_map<std::string, decaying_sum> m_segment_tokens; ///< By id.
    instant m_pruned_at{};
};

} // namespace mangofold::decision
