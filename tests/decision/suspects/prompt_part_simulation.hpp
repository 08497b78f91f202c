#pragma once

#include "decision/quarantine.hpp"
#include "decision/suspects/run_survival.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mangofold::decision
{

using namespace std::chrono_literals;

/// What a simulation of prompt parts varies.
struct part_scenario
{
    std::size_t entries = 6;
    std::size_t engines = 18;
    std::size_t bad_parts = 1;
    double bad_per_s = 3;
    double sound_per_s = 60;
    std::size_t accounts = 4;
    std::size_t topics = 40;      ///< Parts that some of the requests share.
    double own_crashes_per_s = 0; ///< Crashes that no request causes.
    /// Share of the crashes with a bad part that follow the head of the answer
    /// by 5 ms.
    double begun_share = 0;
    duration head_to_event = 0s;       ///< From the head to the first event.
    duration replication_time = 150ms; ///< On average, between two entries.
    double lost_news = 0;              ///< Share of the replications that fail.
};

/// A simulation of entries that use the real quarantine, of engines that come
/// back some time after a crash, and of callers that send a new request each
/// time. Each prompt has a part that all requests of its account share, a topic
/// and a part of its own; some have a bad part, too, and crash their engine
/// soon after they start.
class prompt_part_simulation
{
public:
    prompt_part_simulation(std::uint64_t seed, const part_scenario& tested)
        : m_random(seed), m_scenario(tested), m_entries(tested.entries),
          m_engines(tested.engines), m_bad(tested.bad_parts)
    {
        for (std::size_t index = 0; index < m_entries.size(); ++index)
            m_entries[index].guard.set_own_name("e" + std::to_string(index));
    }

    /// Advances the simulated time.
    void advance(duration time)
    {
        for (const instant end = m_now + time; m_now < end; m_now += step)
        {
            if (happens(m_scenario.sound_per_s))
                add_request(std::nullopt);
            for (std::size_t bad = 0; bad < m_bad.size(); ++bad)
                if (happens(m_scenario.bad_per_s))
                    add_request(bad);
            if (happens(m_scenario.own_crashes_per_s))
                m_engines[below(m_engines.size())].crashes_at = m_now;
            send_waiting();
            finish_runs();
            for (std::size_t index = 0; index < m_entries.size(); ++index)
                if (m_now >= m_entries[index].next_replication)
                    replicate(index);
        }
    }

    /// Crashes a share of the engines at once, as a loss of power does.
    void crash_engines(double share)
    {
        for (engine& hit : m_engines)
            if (fraction() < share)
                hit.crashes_at = m_now;
    }

    /// Restarts all entries, one after the other, \a gap apart.
    void roll(duration gap)
    {
        for (entry& restarted : m_entries)
        {
            const std::string name =
                "e" + std::to_string(&restarted - m_entries.data());
            restarted.guard = quarantine();
            restarted.guard.set_own_name(name);
            restarted.last_change = 0;
            for (entry& other : m_entries)
                other.last_change = 0;
            advance(gap);
        }
    }

    void cut(std::size_t index, duration time)
    {
        m_entries[index].cut_until = m_now + time;
    }

    /// Replaces all engines by engines at which no part is bad.
    void release_mended_version()
    {
        m_version = "v2";
        m_is_mended = true;
    }

    /// The requests with one bad part.
    struct bad_part
    {
        std::size_t crashes = 0;
        instant known_from = instant::max();
        std::size_t late_sends = 0; ///< To engines, from then on.
        std::size_t sent = 0;
        std::size_t refused = 0;
        std::size_t served = 0;
    };
    const std::vector<bad_part>& bad_parts() const { return m_bad; }

    std::size_t sound_refused() const { return m_sound_refused; }
    /// Returns the number of sound requests that waited for too long.
    std::size_t sound_timed_out() const { return m_sound_timed_out; }
    std::size_t sound_sent() const { return m_sound_sent; }
    duration longest_sound_wait() const { return m_longest_sound_wait; }
    /// Returns the number of sound requests that waited for longer than 0.1 s.
    std::size_t sound_delayed() const { return m_sound_delayed; }

private:
    static constexpr duration step = 5ms;
    /// How long all entries may take to know the fifth crash of a part.
    static constexpr duration touch_time = 3s;
    static constexpr std::size_t counted_crashes = 5;
    static constexpr duration max_wait = 5s;

    struct entry
    {
        quarantine guard;
        instant next_replication{};
        std::uint64_t last_change = 0;
        instant cut_until{};
    };

    struct engine
    {
        std::uint64_t started_ms = 1;
        instant back_at{};
        instant crashes_at = instant::max();
    };

    struct request
    {
        request_suspects suspects;
        std::optional<std::size_t> bad;
        std::size_t entry = 0;
        instant arrived_at;
        quarantine::verdict verdict{};
        bool is_trial = false;
        std::size_t engine = 0;
        instant sent_at{};
        instant answered_at{}; ///< The first event.
        instant ends_at{};
        bool is_survival_noted = false;
    };

    double fraction()
    {
        return std::uniform_real_distribution(0.0, 1.0)(m_random);
    }
    std::size_t below(std::size_t count) { return m_random() % count; }
    bool happens(double per_s)
    {
        return fraction() < per_s * std::chrono::duration<double>(step).count();
    }

    target_incarnation incarnation_of(std::size_t index) const
    {
        return {"t" + std::to_string(index), m_engines[index].started_ms};
    }

    void add_request(std::optional<std::size_t> bad)
    {
        const std::string account =
            "a" + std::to_string(below(m_scenario.accounts));
        std::vector<std::string> ids{
            "system " + account,
            "topic" + std::to_string(below(m_scenario.topics))};
        if (bad)
            ids.insert(ids.begin() + static_cast<std::ptrdiff_t>(1 + below(2)),
                       "bad" + std::to_string(*bad));
        ids.push_back("own" + std::to_string(++m_requests));
        request added;
        added.suspects = {{1, m_requests},
                          shared_part_digests("models", account, ids),
                          name_set::of(account)};
        added.bad = bad;
        added.entry = below(m_entries.size());
        added.arrived_at = m_now;
        ++(bad ? m_bad[*bad].sent : m_sound_sent);
        m_waiting.push_back(added);
    }

    void send_waiting()
    {
        std::vector<request> waiting;
        waiting.swap(m_waiting);
        for (request& pending : waiting)
            if (!try_send(pending))
                m_waiting.push_back(pending);
    }

    /// Whether \a pending was sent to an engine or refused.
    bool try_send(request& pending)
    {
        using admission = quarantine::admission;
        quarantine& guard = m_entries[pending.entry].guard;
        if (!pending.is_trial ||
            guard.crashes()
                    .evidence_against(pending.verdict.suspect)
                    .incident_count() != pending.verdict.incidents)
        {
            pending.verdict = guard.evaluate(
                pending.suspects, m_now, [] { return ordinal(); },
                [this] { return name_set::of(m_version); });
            pending.is_trial = pending.verdict.outcome == admission::trial;
            if (pending.verdict.outcome == admission::held)
                guard.note_waiting(pending.verdict.suspect, m_now,
                                   pending.verdict.is_part);
            if (pending.is_trial)
                guard.note_trial(pending.verdict.suspect, m_now);
        }
        const bool is_late = m_now >= pending.arrived_at + max_wait;
        if (pending.verdict.outcome == admission::refused || is_late)
        {
            ++(pending.bad ? m_bad[*pending.bad].refused
               : is_late   ? m_sound_timed_out
                           : m_sound_refused);
            return true;
        }
        const bool is_held = pending.verdict.outcome == admission::held;
        const auto free = is_held ? std::nullopt : free_engine(pending);
        if (!free)
            return false;
        start(pending, *free);
        return true;
    }

    std::optional<std::size_t> free_engine(const request& pending)
    {
        const std::set<target_incarnation> excluded =
            pending.is_trial ? m_entries[pending.entry].guard.targets_of_others(
                                   pending.verdict.suspect)
                             : std::set<target_incarnation>();
        std::vector<std::size_t> free;
        for (std::size_t index = 0; index < m_engines.size(); ++index)
            if (m_now >= m_engines[index].back_at &&
                !excluded.contains(incarnation_of(index)))
                free.push_back(index);
        if (free.empty())
            return std::nullopt;
        return free[below(free.size())];
    }

    void start(request& pending, std::size_t index)
    {
        pending.engine = index;
        pending.sent_at = m_now;
        const instant head_at = m_now + 50ms + 5ms * below(20);
        pending.answered_at = head_at + m_scenario.head_to_event;
        const bool is_crash = pending.bad && !m_is_mended;
        pending.ends_at =
            pending.answered_at +
            (is_crash ? 5ms * below(60) : 100ms + 100ms * below(30));
        if (is_crash && m_scenario.begun_share > 0 &&
            fraction() < m_scenario.begun_share)
            pending.ends_at = head_at + 5ms;
        if (!pending.bad)
        {
            const duration waited = m_now - pending.arrived_at;
            m_longest_sound_wait = std::max(m_longest_sound_wait, waited);
            m_sound_delayed += waited > 100ms ? 1 : 0;
        }
        else if (m_now >= m_bad[*pending.bad].known_from &&
                 m_now >= m_entries[pending.entry].cut_until + touch_time)
            ++m_bad[*pending.bad].late_sends;
        if (pending.is_trial)
            m_entries[pending.entry].guard.note_sent(pending.verdict.suspect,
                                                     incarnation_of(index));
        m_runs.push_back(pending);
    }

    void finish_runs()
    {
        for (const request& run : m_runs)
            if (run.bad && !m_is_mended && m_now >= run.ends_at &&
                m_engines[run.engine].crashes_at > m_now)
            {
                m_engines[run.engine].crashes_at = m_now;
                bad_part& counted = m_bad[*run.bad];
                if (++counted.crashes == counted_crashes)
                    counted.known_from = m_now + touch_time;
            }
        std::vector<request> runs;
        runs.swap(m_runs);
        for (request& run : runs)
            if (m_engines[run.engine].crashes_at <= m_now)
                note_crash(run);
            else if (!note_progress(run))
                m_runs.push_back(run);
        for (engine& crashed : m_engines)
            if (crashed.crashes_at <= m_now)
                crashed = {crashed.started_ms + 1,
                           m_now + 1s + 100ms * below(20), instant::max()};
    }

    void note_crash(const request& run)
    {
        quarantine& guard = m_entries[run.entry].guard;
        end(run);
        if (has_survived(first_event_of(run), m_now, 0s))
            return;
        target_crash crash{{}, incarnation_of(run.engine), run.sent_at, m_now};
        crash.is_part = true;
        crash.accounts = run.suspects.account;
        crash.versions = name_set::of(m_version);
        for (const digest& part : run.suspects.parts)
        {
            crash.content = part;
            guard.note_crash(crash, m_now);
        }
    }

    std::optional<instant> first_event_of(const request& run) const
    {
        return m_now < run.answered_at ? std::nullopt
                                       : std::optional(run.answered_at);
    }

    /// Whether \a run is complete.
    bool note_progress(request& run)
    {
        const bool is_complete = m_now >= run.ends_at;
        if (is_complete || (has_survived(first_event_of(run), m_now, 0s) &&
                            !run.is_survival_noted))
        {
            run.is_survival_noted = true;
            for (const digest& part : run.suspects.parts)
                m_entries[run.entry].guard.note_part_survived(part,
                                                              run.answered_at);
        }
        if (!is_complete)
            return false;
        if (run.bad)
            ++m_bad[*run.bad].served;
        end(run);
        return true;
    }

    void end(const request& run)
    {
        if (run.is_trial)
            m_entries[run.entry].guard.note_finished(
                run.verdict.suspect, incarnation_of(run.engine));
    }

    /// Sends the changes of one entry to all others.
    void replicate(std::size_t from)
    {
        entry& own = m_entries[from];
        own.next_replication =
            m_now + m_scenario.replication_time / 2 +
            duration(static_cast<duration::rep>(
                static_cast<double>(m_scenario.replication_time.count()) *
                fraction()));
        if (m_now < own.cut_until || fraction() < m_scenario.lost_news)
            return;
        own.guard.expire(m_now);
        for (const target_crash& crash :
             own.guard.crashes().changes_after(own.last_change, 1000, m_now))
            for (entry& other : m_entries)
                if (m_now >= other.cut_until)
                    other.guard.crashes().note(crash, m_now);
                else
                    own.last_change = 0;
    }

    std::mt19937_64 m_random;
    part_scenario m_scenario;
    instant m_now = instant() + 2h;
    std::string m_version = "v1";
    bool m_is_mended = false;
    std::vector<entry> m_entries;
    std::vector<engine> m_engines;
    std::vector<bad_part> m_bad;
    std::vector<request> m_waiting;
    std::vector<request> m_runs;
    std::uint64_t m_requests = 0;
    std::size_t m_sound_refused = 0;
    std::size_t m_sound_timed_out = 0;
    std::size_t m_sound_sent = 0;
    std::size_t m_sound_delayed = 0;
    duration m_longest_sound_wait{};
};

} // namespace mangofold::decision
