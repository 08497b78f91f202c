#pragma once

#include "decision/quarantine.hpp"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace mangofold::decision
{

using namespace std::chrono_literals;

/// What ends targets has a number below this.
constexpr std::uint64_t harmless_from = 100;

/// Entries around the real quarantine, a few targets that are back some time
/// after they ended, and callers who ask again and again: for things that end
/// each target soon after they begin, and for one harmless thing that takes
/// longer.
class mixed_world
{
public:
    mixed_world(std::uint64_t seed, std::size_t poisons, std::size_t targets,
                std::size_t entries)
        : m_random(seed), m_entries(entries), m_targets(targets)
    {
        for (std::size_t one = 0; one < poisons; ++one)
            m_callers.push_back({{0, one}, m_now});
        for (std::size_t one = 0; one < harmless_callers; ++one)
            m_callers.push_back({{0, harmless_from}, m_now + up_to(50ms)});
        for (caller& one : m_callers)
            one.entry = m_random() % entries;
        for (std::size_t one = 0; one < entries; ++one)
            m_entries[one].known.set_own_name("e" + std::to_string(one));
    }

    void pass(duration time)
    {
        constexpr duration step = 5ms;
        for (const instant end = m_now + time; m_now < end; m_now += step)
        {
            end_runs();
            for (std::size_t one = 0; one < m_callers.size(); ++one)
                if (!m_callers[one].is_waiting && m_now >= m_callers[one].next)
                    ask(one);
            send_waiting();
            for (std::size_t one = 0; one < m_entries.size(); ++one)
                if (m_now >= m_entries[one].next_told)
                    tell(one);
        }
    }

    std::size_t harmless_refused() const { return m_harmless_refused; }
    /// Returns how many waited until their time was over.
    std::size_t harmless_late() const { return m_harmless_late; }
    std::size_t harmless_asked() const { return m_harmless_asked; }
    std::size_t harmless_served() const { return m_harmless_served; }

    /// Returns the most sendings of one request that reached targets when it
    /// should have been known to end them.
    std::size_t most_late() const
    {
        std::size_t most = 0;
        for (const suspect& one : m_suspects)
            most = std::max(most, one.late);
        return most;
    }

private:
    static constexpr std::size_t harmless_callers = 8;
    static constexpr duration harmless_time = 150ms;
    static constexpr duration poison_time = 30ms;
    static constexpr duration longest_wait = 3s;
    static constexpr duration known_time = 1s; ///< For all entries.

    struct caller
    {
        digest content;
        instant next;
        std::size_t entry = 0; ///< Where it has a connection.
        bool is_waiting = false;
    };

    /// A request that ends targets.
    struct suspect
    {
        std::size_t ended = 0;
        instant known_from = instant::max();
        std::size_t late = 0; ///< Sent to targets after that.
    };

    struct entry
    {
        quarantine known;
        instant next_told{};
        std::uint64_t told = 0;
    };

    struct target
    {
        std::uint64_t born = 1;
        instant up_at{};
    };

    struct request
    {
        digest content;
        std::size_t at = 0; ///< Its entry.
        std::size_t asked_by = 0;
        instant came;
        bool is_apart = false;
        bool is_trial = false;
        std::size_t ends = 0; ///< Known when it was admitted.
        instant alone_until{};
        std::size_t target = 0;
        instant began;
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

    target_incarnation start_of(std::size_t one) const
    {
        return {"t" + std::to_string(one), m_targets[one].born};
    }

    // Who asks for what ends targets does so whatever it gets, from anywhere.
    // All others ask again once they have an answer, mostly where they did.
    void ask(std::size_t number)
    {
        caller& one = m_callers[number];
        const bool asks_anew = is_poison(one.content);
        if (asks_anew || m_random() % 10 == 0)
            one.entry = m_random() % m_entries.size();
        one.is_waiting = !asks_anew;
        one.next = m_now + 20ms + up_to(480ms);
        m_harmless_asked += asks_anew ? 0 : 1;
        request made;
        made.content = one.content;
        made.at = one.entry;
        made.asked_by = number;
        made.came = m_now;
        m_waiting.push_back(made);
    }

    void answer(const request& one)
    {
        caller& whose = m_callers[one.asked_by];
        whose.is_waiting = false;
        if (!is_poison(one.content))
            whose.next = m_now + 20ms + up_to(200ms);
    }

    void send_waiting()
    {
        std::vector<request> waiting;
        waiting.swap(m_waiting);
        for (request& one : waiting)
        {
            if (may_go(one))
                continue;
            if (m_now < one.came + longest_wait)
            {
                m_waiting.push_back(one);
                continue;
            }
            m_harmless_late += is_poison(one.content) ? 0 : 1;
            answer(one);
        }
    }

    /// Whether \a one has gone, to a target or away.
    bool may_go(request& one)
    {
        using admission = quarantine::admission;
        quarantine& known = m_entries[one.at].known;
        if (!one.is_trial ||
            known.ends().against(one.content).ends() != one.ends)
        {
            const seat own{one.at, m_entries.size()};
            const auto said =
                known.judge(one.content, m_now, [&own] { return own; });
            if (said.how == admission::refused)
            {
                refuse(one);
                return true;
            }
            one.is_trial = said.how == admission::trial;
            one.is_apart = one.is_trial || said.how == admission::apart;
            one.ends = said.ends;
            if (said.how == admission::held)
                known.note_waiting(one.content, m_now);
            if (one.is_trial)
            {
                known.note_tried(one.content, m_now);
                one.alone_until = m_now + 1s;
            }
            if (!one.is_apart && said.how != admission::open)
                return false;
        }
        const std::vector<std::size_t> free = free_targets(one);
        if (free.empty())
            return false;
        one.target = free[m_random() % free.size()];
        one.began = m_now;
        if (one.is_apart)
            known.note_begun(one.content, start_of(one.target));
        m_runs.push_back(one);
        if (is_poison(one.content) &&
            m_now >= suspect_of(one.content).known_from)
            ++suspect_of(one.content).late;
        return true;
    }

    std::vector<std::size_t> free_targets(const request& one) const
    {
        const quarantine& known = m_entries[one.at].known;
        std::vector<target_incarnation> up;
        for (std::size_t at = 0; at < m_targets.size(); ++at)
            if (m_now >= m_targets[at].up_at)
                up.push_back(start_of(at));
        std::set<target_incarnation> left_out;
        if (one.is_apart)
            left_out = known.occupied(one.content);
        if (one.is_trial && m_now < one.alone_until)
            left_out.merge(
                kept_for_others(known.place_in_trial(one.content, m_now), up));
        std::vector<std::size_t> free;
        for (std::size_t at = 0; at < m_targets.size(); ++at)
            if (m_now >= m_targets[at].up_at &&
                !left_out.contains(start_of(at)))
                free.push_back(at);
        return free;
    }

    void refuse(const request& one)
    {
        m_harmless_refused += is_poison(one.content) ? 0 : 1;
        answer(one);
    }

    void end_runs()
    {
        std::vector<bool> ends(m_targets.size());
        for (const request& one : m_runs)
            if (is_poison(one.content) && m_now >= one.began + poison_time)
            {
                if (!ends[one.target])
                    count_end(one.content);
                ends[one.target] = true;
            }
        std::vector<request> runs;
        runs.swap(m_runs);
        for (const request& one : runs)
        {
            quarantine& known = m_entries[one.at].known;
            const bool is_served = m_now >= one.began + harmless_time;
            if (!ends[one.target] && !is_served)
            {
                m_runs.push_back(one);
                continue;
            }
            if (ends[one.target])
                known.note_end({one.content, start_of(one.target), one.began,
                                m_now, false},
                               m_now);
            else
            {
                known.note_served(one.content, m_now);
                ++m_harmless_served;
            }
            answer(one);
            if (one.is_apart)
                known.note_over(one.content, start_of(one.target));
        }
        for (std::size_t at = 0; at < m_targets.size(); ++at)
            if (ends[at])
            {
                ++m_targets[at].born;
                m_targets[at].up_at = m_now + 200ms + up_to(1s);
            }
    }

    void count_end(const digest& content)
    {
        suspect& one = suspect_of(content);
        if (++one.ended == quarantine::most_ends)
            one.known_from = m_now + known_time;
    }

    suspect& suspect_of(const digest& content)
    {
        m_suspects.resize(std::max(m_suspects.size(), content.low + 1));
        return m_suspects[content.low];
    }

    /// Tells all others, each 0.1 to 0.3 s.
    void tell(std::size_t from)
    {
        entry& own = m_entries[from];
        own.next_told = m_now + 100ms + up_to(200ms);
        for (const target_end& news :
             own.known.ends().since(own.told, 1000, m_now))
            for (entry& other : m_entries)
                other.known.ends().note(news, m_now);
    }

    std::mt19937_64 m_random;
    instant m_now = instant() + 2h;
    std::vector<entry> m_entries;
    std::vector<target> m_targets;
    std::vector<caller> m_callers;
    std::vector<request> m_waiting;
    std::vector<request> m_runs;
    std::vector<suspect> m_suspects;
    std::size_t m_harmless_asked = 0;
    std::size_t m_harmless_refused = 0;
    std::size_t m_harmless_late = 0;
    std::size_t m_harmless_served = 0;
};

} // namespace mangofold::decision
