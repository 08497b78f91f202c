#pragma once

#include "decision/engines/engine_selector.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace mangofold::decision
{

/// Identifies a generation by the entry that runs it, or the connection of that
/// entry, and a number that the entry assigned. The sender of an entry's own
/// generations is empty.
struct generation_key
{
    std::string sender;
    std::uint64_t number = 0;

    friend auto operator<=>(const generation_key&,
                            const generation_key&) = default;
};

/// What an entry reports of a generation.
enum class generation_event : std::uint8_t
{
    first_event,
    ended,
    failed, ///< The engine did not answer or broke off.
    refused ///< The engine did not run the generation.
};

/// The generations in progress at the engines: this entry's own ones and, where
/// it schedules a service, those of all entries. Keeps the records of an
/// engine_selector.
class generation_record
{
public:
    explicit generation_record(engine_selector& engines) : m_engines(engines) {}

    /// Returns the key for the next generation of this entry.
    generation_key next_own_key() { return {{}, ++m_last_number}; }

    /// Notes that \a work is sent to \a target just now. Replaces a generation
    /// with the same key, whose entry chose another engine.
    void add(const generation_key& key, const target_incarnation& target,
             const generation_request& work, instant now);

    /// Notes an event of a generation, \a after it was sent.
    void note_event(const generation_key& key, generation_event event,
                    duration after, instant now);

    /// Notes that the connection \a sender was lost.
    void note_sender_lost(const std::string& sender, instant now);

    /// Forgets the generations of other entries that are too old or whose
    /// connection has been lost for a while.
    void expire(instant now);

    bool contains(const generation_key& key) const
    {
        return m_generations.contains(key);
    }

    std::size_t size() const { return m_generations.size(); }

private:
    struct generation
    {
        target_incarnation target;
        double prefill_tokens = 0;
        double held_tokens = 0; ///< In the engine's memory.
        awaited_first_event awaited;
        bool is_prompt_read = false;
        instant added_at{};
    };
    using generations = std::map<generation_key, generation>;

    void remove(generations::iterator position);

    engine_selector& m_engines;
    generations m_generations;
    std::map<std::string, instant> m_lost_senders; ///< And when.
    std::uint64_t m_last_number = 0;
};

} // namespace mangofold::decision
