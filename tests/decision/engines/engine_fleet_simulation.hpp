#pragma once

#include "decision/engines/generation_record.hpp"
#include "decision/random_source.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangofold::test
{

/// Simulates entries that place generations at engines of different speed. Each
/// entry decides by its own records, or one entry decides for all.
class engine_fleet_simulation
{
public:
    struct options
    {
        std::size_t entries = 1;
        std::vector<double> paces; ///< Of the engines; 2 is half the speed.
        double per_second = 100;   ///< Generations of the fleet.
        bool has_scheduler = false;
        double slow_share = 0; ///< Of the time, in periods of 600 ms.
        bool reports_first_events = true; ///< Or only ends.
    };

    explicit engine_fleet_simulation(options chosen)
        : m_options(std::move(chosen)), m_engines(m_options.paces.size())
    {
        for (std::size_t index = 0; index < m_engines.size(); ++index)
            m_targets.push_back({"e" + std::to_string(index), "s", "", "a"});
        for (const decision::listed_target& target : m_targets)
            m_candidates.push_back(&target);
        const std::size_t deciders =
            m_options.has_scheduler ? 1 : m_options.entries;
        for (std::size_t index = 0; index < deciders; ++index)
            m_deciders.push_back(std::make_unique<decider>());
    }

    void advance(decision::duration time)
    {
        constexpr decision::duration tick = std::chrono::milliseconds(1);
        for (const auto end = m_now + time; m_now < end; m_now += tick)
        {
            if (m_random.fraction() < m_options.per_second / 1000)
                start_generation();
            deliver_events();
        }
    }

    /// Starts \a count generations at the same moment, each at another entry.
    void start_at_once(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            place(index, generation({own_segment(2000)}));
    }

    void reset_statistics()
    {
        m_first_event_times.clear();
        m_sent_to.assign(m_engines.size(), 0);
        m_shared_reads = 0;
    }

    decision::duration first_event_time(double quantile)
    {
        std::sort(m_first_event_times.begin(), m_first_event_times.end());
        return m_first_event_times.at(static_cast<std::size_t>(
            quantile * static_cast<double>(m_first_event_times.size() - 1)));
    }

    /// Returns how often an engine read a shared segment.
    std::size_t shared_reads() const { return m_shared_reads; }

    /// Returns the number of generations sent to each engine.
    const std::vector<std::size_t>& sent_to() const { return m_sent_to; }

private:
    struct decider
    {
        decision::engine_selector engines;
        decision::generation_record record{engines};
    };
    struct running_generation
    {
        decision::generation_key key;
        std::size_t decider = 0;
        decision::instant sent_at{};
        decision::instant first_event_at{};
    };
    struct engine
    {
        std::unordered_map<std::string, decision::instant> last_used;
        decision::instant free_at{};
        std::deque<running_generation> unread;
    };

    /// Two thirds of a prompt are a topic that one in thirty requests has.
    void start_generation()
    {
        constexpr std::size_t topics = 30;
        const std::string topic = "t" + std::to_string(m_random.below(topics));
        place(m_random.below(m_options.entries),
              generation({{topic, 6000}, own_segment(3000)}));
    }

    decision::prompt_segment own_segment(std::uint32_t tokens)
    {
        return {"own" + std::to_string(++m_started), tokens};
    }

    static decision::generation_request
    generation(std::vector<decision::prompt_segment> prompt)
    {
        decision::generation_request work;
        work.service = "s";
        work.prompt = std::move(prompt);
        return work;
    }

    void place(std::size_t entry, const decision::generation_request& work)
    {
        const std::size_t index = entry % m_deciders.size();
        decider& by = *m_deciders[index];
        const auto* target =
            by.engines.choose(m_candidates, {}, work, "a", m_now);
        const auto number = static_cast<std::size_t>(target - m_targets.data());
        const auto key = by.record.next_own_key();
        by.record.add(key, target->incarnation, work, m_now);
        m_sent_to.resize(m_engines.size());
        ++m_sent_to[number];
        engine& chosen = m_engines[number];
        chosen.free_at = std::max(chosen.free_at, m_now) +
                         read_time(chosen, work, pace(number));
        const auto first_event_at =
            chosen.free_at +
            decision::duration(
                static_cast<decision::duration::rep>(50e6 * pace(number)));
        m_first_event_times.push_back(first_event_at - m_now);
        chosen.unread.push_back({key, index, m_now, first_event_at});
    }

    decision::duration read_time(engine& reader,
                                 const decision::generation_request& work,
                                 double current_pace)
    {
        double tokens = 0;
        for (const auto& segment : work.prompt)
        {
            const auto cached = reader.last_used.find(segment.id);
            if (cached == reader.last_used.end() ||
                cached->second + cache_lifetime <= m_now)
            {
                tokens += segment.tokens;
                m_shared_reads += segment.id != work.prompt.back().id;
            }
            reader.last_used[segment.id] = m_now;
        }
        constexpr double ns_per_token = 25000;
        return decision::duration(static_cast<decision::duration::rep>(
            tokens * ns_per_token * current_pace));
    }

    /// Returns the pace of an engine now: slow periods take 2.5 times as long.
    double pace(std::size_t engine_number) const
    {
        constexpr decision::duration period = std::chrono::milliseconds(600);
        const auto number =
            static_cast<std::uint64_t>(m_now.time_since_epoch() / period);
        decision::random_source random(number * m_engines.size() +
                                       engine_number);
        const bool is_slow = random.fraction() < m_options.slow_share;
        return m_options.paces[engine_number] * (is_slow ? 2.5 : 1);
    }

    void deliver_events()
    {
        for (engine& sender : m_engines)
            while (!sender.unread.empty() &&
                   sender.unread.front().first_event_at <= m_now)
            {
                const running_generation& done = sender.unread.front();
                auto& record = m_deciders[done.decider]->record;
                if (m_options.reports_first_events)
                    record.note_event(done.key,
                                      decision::generation_event::first_event,
                                      m_now - done.sent_at, m_now);
                record.note_event(done.key, decision::generation_event::ended,
                                  m_now - done.sent_at, m_now);
                sender.unread.pop_front();
            }
    }

    /// How long engines keep a segment after its last use.
    static constexpr decision::duration cache_lifetime =
        std::chrono::seconds(30);

    options m_options;
    std::vector<engine> m_engines;
    std::vector<decision::listed_target> m_targets;
    std::vector<const decision::listed_target*> m_candidates;
    std::vector<std::unique_ptr<decider>> m_deciders;
    std::vector<decision::duration> m_first_event_times;
    std::vector<std::size_t> m_sent_to;
    std::size_t m_shared_reads = 0;
    decision::random_source m_random{5};
    decision::instant m_now{std::chrono::hours(1)};
    std::uint64_t m_started = 0;
};

} // namespace mangofold::test
