#pragma once

#include "decision/quarantine.hpp"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace mangofold::decision
{

using namespace std::chrono_literals;

/// Contents with a lower number crash targets.
constexpr std::uint64_t harmless_from = 100;

/// A simulation of entries that use the real quarantine, of a few targets that
/// restart some time after a crash, and of callers that send requests again and
/// again: poison requests, each of which crashes its target soon after it
/// starts, and one harmless request that takes longer.
class mixed_load_model
{
public:
    mixed_load_model(std::uint64_t seed, std::size_t poisons,
                     std::size_t targets, std::size_t entries)
        : m_random(seed), m_entries(entries), m_targets(targets)
    {
        for (std::size_t number = 0; number < poisons; ++number)
            m_callers.push_back({{0, number}, m_now});
        for (std::size_t count = 0; count < harmless_callers; ++count)
            m_callers.push_back({{0, harmless_from}, m_now + up_to(50ms)});
        for (caller& source : m_callers)
            source.entry = m_random() % entries;
        for (std::size_t index = 0; index < entries; ++index)
            m_entries[index].guard.set_own_name("e" + std::to_string(index));
    }

    /// Advances the simulated time.
    void advance(duration time)
    {
        constexpr duration step = 5ms;
        for (const instant end = m_now + time; m_now < end; m_now += step)
        {
            finish_runs();
            for (std::size_t index = 0; index < m_callers.size(); ++index)
                if (!m_callers[index].is_waiting &&
                    m_now >= m_callers[index].next_send)
                    send(index);
            send_waiting();
            for (std::size_t index = 0; index < m_entries.size(); ++index)
                if (m_now >= m_entries[index].next_replication)
                    replicate(index);
        }
    }

    std::size_t harmless_refused() const { return m_harmless_refused; }
    /// Returns the number of harmless requests that timed out.
    std::size_t harmless_timed_out() const { return m_harmless_timed_out; }
    std::size_t harmless_sent() const { return m_harmless_sent; }
    std::size_t harmless_served() const { return m_harmless_served; }

    /// Returns the maximum, over the poison requests, of the sends that reached
    /// a target after all entries should have known the request.
    std::size_t max_late_sends() const
    {
        std::size_t max = 0;
        for (const poison_stats& counted : m_poison_stats)
            max = std::max(max, counted.late_sends);
        return max;
    }

private:
    static constexpr std::size_t harmless_callers = 8;
    static constexpr duration harmless_run_time = 150ms;
    static constexpr duration poison_run_time = 30ms;
    static constexpr duration max_wait = 3s;
    /// How long the replication of the crashes to all entries may take.
    static constexpr duration replication_time = 1s;

    struct caller
    {
        digest content;
        instant next_send;
        std::size_t entry = 0; ///< The entry that it is connected to.
        bool is_waiting = false;
    };

    /// The statistics of a poison request.
    struct poison_stats
    {
        std::size_t crashes = 0;
        instant known_from = instant::max();
        std::size_t late_sends = 0; ///< To targets, from then on.
    };

    struct entry
    {
        quarantine guard;
        instant next_replication{};
        std::uint64_t last_change = 0;
    };

    struct target
    {
        std::uint64_t started_ms = 1;
        instant restarts_at{};
    };

    struct request
    {
        digest content;
        std::size_t entry = 0; ///< The entry that handles it.
        std::size_t caller = 0;
        instant arrived_at;
        bool is_isolated = false;
        bool is_trial = false;
        std::size_t incidents = 0; ///< Known when it was admitted.
        instant reserved_until{};
        std::size_t target = 0;
        instant started_at;
    };

    static bool is_poison(const digest& content)
    {
        return content.low < harmless_from;
    }

    duration up_to(duration time)
    {
        return duration(static_cast<duration::rep>(
            m_random() % static_cast<std::uint64_t>(time.count())));
    }

    target_incarnation incarnation_of(std::size_t index) const
    {
        return {"t" + std::to_string(index), m_targets[index].started_ms};
    }

    // Callers of poison requests send without waiting for an answer, each time
    // to a random entry. All other callers send again once they have an answer,
    // mostly to the same entry.
    void send(std::size_t number)
    {
        caller& source = m_callers[number];
        const bool has_poison = is_poison(source.content);
        if (has_poison || m_random() % 10 == 0)
            source.entry = m_random() % m_entries.size();
        source.is_waiting = !has_poison;
        source.next_send = m_now + 20ms + up_to(480ms);
        m_harmless_sent += has_poison ? 0 : 1;
        request created;
        created.content = source.content;
        created.entry = source.entry;
        created.caller = number;
        created.arrived_at = m_now;
        m_waiting.push_back(created);
    }

    void answer(const request& pending)
    {
        caller& source = m_callers[pending.caller];
        source.is_waiting = false;
        if (!is_poison(pending.content))
            source.next_send = m_now + 20ms + up_to(200ms);
    }

    void send_waiting()
    {
        std::vector<request> waiting;
        waiting.swap(m_waiting);
        for (request& pending : waiting)
        {
            if (try_send(pending))
                continue;
            if (m_now < pending.arrived_at + max_wait)
            {
                m_waiting.push_back(pending);
                continue;
            }
            m_harmless_timed_out += is_poison(pending.content) ? 0 : 1;
            answer(pending);
        }
    }

    /// Whether \a pending was sent to a target or refused.
    bool try_send(request& pending)
    {
        using admission = quarantine::admission;
        quarantine& guard = m_entries[pending.entry].guard;
        if (!pending.is_trial || guard.crashes()
                                         .evidence_against(pending.content)
                                         .incident_count() != pending.incidents)
        {
            const ordinal own{pending.entry, m_entries.size()};
            const auto verdict =
                guard.evaluate(pending.content, m_now, [&own] { return own; });
            if (verdict.outcome == admission::refused)
            {
                refuse(pending);
                return true;
            }
            pending.is_trial = verdict.outcome == admission::trial;
            pending.is_isolated =
                pending.is_trial || verdict.outcome == admission::isolated;
            pending.incidents = verdict.incidents;
            if (verdict.outcome == admission::held)
                guard.note_waiting(pending.content, m_now);
            if (pending.is_trial)
            {
                guard.note_trial(pending.content, m_now);
                pending.reserved_until = m_now + 1s;
            }
            if (!pending.is_isolated &&
                verdict.outcome != admission::unrestricted)
                return false;
        }
        const std::vector<std::size_t> free = free_targets(pending);
        if (free.empty())
            return false;
        pending.target = free[m_random() % free.size()];
        pending.started_at = m_now;
        if (pending.is_isolated)
            guard.note_sent(pending.content, incarnation_of(pending.target));
        m_runs.push_back(pending);
        if (is_poison(pending.content) &&
            m_now >= stats_of(pending.content).known_from)
            ++stats_of(pending.content).late_sends;
        return true;
    }

    std::vector<std::size_t> free_targets(const request& pending) const
    {
        const quarantine& guard = m_entries[pending.entry].guard;
        std::vector<target_incarnation> up;
        for (std::size_t index = 0; index < m_targets.size(); ++index)
            if (m_now >= m_targets[index].restarts_at)
                up.push_back(incarnation_of(index));
        std::set<target_incarnation> excluded;
        if (pending.is_isolated)
            excluded = guard.targets_of_others(pending.content);
        if (pending.is_trial && m_now < pending.reserved_until)
            excluded.merge(targets_reserved_for_others(
                guard.trial_ordinal(pending.content, m_now), up));
        std::vector<std::size_t> free;
        for (std::size_t index = 0; index < m_targets.size(); ++index)
            if (m_now >= m_targets[index].restarts_at &&
                !excluded.contains(incarnation_of(index)))
                free.push_back(index);
        return free;
    }

    void refuse(const request& pending)
    {
        m_harmless_refused += is_poison(pending.content) ? 0 : 1;
        answer(pending);
    }

    void finish_runs()
    {
        std::vector<bool> has_crashed(m_targets.size());
        for (const request& pending : m_runs)
            if (is_poison(pending.content) &&
                m_now >= pending.started_at + poison_run_time)
            {
                if (!has_crashed[pending.target])
                    count_crash(pending.content);
                has_crashed[pending.target] = true;
            }
        std::vector<request> runs;
        runs.swap(m_runs);
        for (const request& pending : runs)
        {
            quarantine& guard = m_entries[pending.entry].guard;
            const bool is_served =
                m_now >= pending.started_at + harmless_run_time;
            if (!has_crashed[pending.target] && !is_served)
            {
                m_runs.push_back(pending);
                continue;
            }
            if (has_crashed[pending.target])
                guard.note_crash({pending.content,
                                  incarnation_of(pending.target),
                                  pending.started_at, m_now, false},
                                 m_now);
            else
            {
                guard.note_served(pending.content, m_now);
                ++m_harmless_served;
            }
            answer(pending);
            if (pending.is_isolated)
                guard.note_finished(pending.content,
                                    incarnation_of(pending.target));
        }
        for (std::size_t index = 0; index < m_targets.size(); ++index)
            if (has_crashed[index])
            {
                ++m_targets[index].started_ms;
                m_targets[index].restarts_at = m_now + 200ms + up_to(1s);
            }
    }

    void count_crash(const digest& content)
    {
        poison_stats& counted = stats_of(content);
        if (++counted.crashes == quarantine::max_incidents)
            counted.known_from = m_now + replication_time;
    }

    poison_stats& stats_of(const digest& content)
    {
        m_poison_stats.resize(std::max(m_poison_stats.size(), content.low + 1));
        return m_poison_stats[content.low];
    }

    /// Sends the changes of one entry to all others, every 0.1 to 0.3 s.
    void replicate(std::size_t from)
    {
        entry& own = m_entries[from];
        own.next_replication = m_now + 100ms + up_to(200ms);
        for (const target_crash& crash :
             own.guard.crashes().changes_after(own.last_change, 1000, m_now))
            for (entry& other : m_entries)
                other.guard.crashes().note(crash, m_now);
    }

    std::mt19937_64 m_random;
    instant m_now = instant() + 2h;
    std::vector<entry> m_entries;
    std::vector<target> m_targets;
    std::vector<caller> m_callers;
    std::vector<request> m_waiting;
    std::vector<request> m_runs;
    std::vector<poison_stats> m_poison_stats;
    std::size_t m_harmless_sent = 0;
    std::size_t m_harmless_refused = 0;
    std::size_t m_harmless_timed_out = 0;
    std::size_t m_harmless_served = 0;
};

} // namespace mangofold::decision
