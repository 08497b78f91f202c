#include "decision/engines/generation_record.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// How long the generations of an entry count after its connection was lost:
/// they go on if only the connection failed.
constexpr duration lost_sender_time = std::chrono::seconds(2);

/// The age at which a generation of another entry is forgotten. Nearly all end
/// sooner; an update that was lost must not occupy an engine for good.
constexpr duration max_age = std::chrono::seconds(30);

} // namespace

void generation_record::add(const generation_key& key,
                            const target_incarnation& target,
                            const generation_request& work, instant now)
{
    const auto found = m_generations.find(key);
    if (found != m_generations.end())
        remove(found);
    generation added;
    added.target = target;
    added.prefill_tokens = m_engines.note_sent(target, work, now);
    added.held_tokens = added.prefill_tokens + work.max_output_tokens;
    added.awaited = m_engines.await_first_event(target, work, now);
    added.added_at = now;
    m_generations.emplace(key, std::move(added));
}

void generation_record::remove(generations::iterator position)
{
    const generation& removed = position->second;
    if (!removed.is_prompt_read)
    {
        m_engines.note_prompt_read(removed.target, removed.prefill_tokens);
        m_engines.note_abandoned(removed.target, removed.awaited);
    }
    m_engines.note_ended(removed.target, removed.held_tokens);
    m_generations.erase(position);
}

// Another entry may have failed to reach an engine that works, so its report
// leaves the record of cached segments as it is.
void generation_record::note_event(const generation_key& key,
                                   generation_event event, duration after,
                                   instant now)
{
    const auto found = m_generations.find(key);
    if (found == m_generations.end())
        return;
    generation& reported = found->second;
    if (event != generation_event::first_event)
    {
        const bool keeps_cache =
            event == generation_event::refused || !key.sender.empty();
        if (event != generation_event::ended)
            m_engines.note_failed(reported.target, keeps_cache, now);
        else if (reported.is_prompt_read)
            m_engines.note_generation_time(
                reported.awaited.service,
                std::clamp(after, duration::zero(), max_age));
        return remove(found);
    }
    if (reported.is_prompt_read)
        return;
    reported.is_prompt_read = true;
    m_engines.note_prompt_read(reported.target, reported.prefill_tokens);
    m_engines.note_first_event(reported.target, reported.awaited,
                               std::clamp(after, duration::zero(), max_age),
                               now);
}

void generation_record::note_sender_lost(const std::string& sender, instant now)
{
    m_lost_senders.try_emplace(sender, now);
}

void generation_record::expire(instant now)
{
    const auto has_expired = [&](const generations::value_type& known)
    {
        const auto& [key, value] = known;
        if (key.sender.empty())
            return false;
        const auto lost = m_lost_senders.find(key.sender);
        return now >= value.added_at + max_age ||
               (lost != m_lost_senders.end() &&
                now >= lost->second + lost_sender_time);
    };
    for (auto known = m_generations.begin(); known != m_generations.end();)
    {
        const auto current = known++;
        if (has_expired(*current))
            remove(current);
    }
    std::erase_if(m_lost_senders, [now](const auto& lost)
                  { return now >= lost.second + lost_sender_time; });
    m_engines.expire(now);
}

} // namespace mangofold::decision
