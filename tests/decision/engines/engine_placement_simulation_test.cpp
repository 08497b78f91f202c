#include "decision/engines/engine_selector.hpp"
#include "decision/random_source.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <unordered_map>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr duration tick = 1ms;

/// Prompt tokens that a simulated engine reads in a millisecond.
constexpr double tokens_per_ms = 70;

/// Engines evict segments that they have not used for this long.
constexpr duration cache_lifetime = 30s;

/// Reading a segment counts as repeated if an engine used it this recently.
constexpr duration reread_window = 9s;

constexpr std::size_t zone_count = 6;

/// A kind of request. Its prompts consist of a topic, a subtopic of that topic
/// and a segment of their own.
struct workload
{
    std::string name;
    double per_second = 0;
    std::uint32_t topics = 1;
    std::uint32_t topic_tokens = 0;
    std::uint32_t subtopics = 1;
    std::uint32_t subtopic_tokens = 0;
    std::uint32_t own_tokens = 0;
    duration generation_time{}; ///< After the prompt was read.
    double hot_share = 0;       ///< Of requests about a topic's hot subtopic.
};

/// Returns long plans, short notes and chats, as booking assistants have them,
/// at \a load times the rate that keeps a hundred engines reading for a seventh
/// of the time.
std::vector<workload> usual_workloads(double load)
{
    return {{"plan", 117 * load, 4, 2520, 2077, 3780, 2890, 50ms},
            {"note", 156 * load, 78, 341, 1227, 227, 1800, 30ms},
            {"chat", 37 * load, 15, 103, 289, 69, 543, 300ms}};
}

/// Simulates many entries that place generations at engines, each by its own
/// records only, and the prompt caches of the engines.
class placement_simulation
{
public:
    placement_simulation(std::size_t entries, std::size_t engines,
                         std::vector<workload> workloads, std::uint64_t seed)
        : m_entries(entries), m_engines(engines),
          m_workloads(std::move(workloads)), m_random(seed)
    {
        for (std::size_t index = 0; index < engines; ++index)
        {
            const std::string id = "engine-" + std::to_string(index);
            m_targets.push_back(
                {id, "s", id, zone(index % zone_count), 12, false, 1});
        }
        for (const listed_target& target : m_targets)
            m_candidates.push_back(&target);
    }

    /// Simulates the next \a time.
    void advance(duration time)
    {
        for (const instant end = m_now + time; m_now < end; m_now += tick)
        {
            for (const workload& load : m_workloads)
                if (m_random.fraction() < load.per_second / 1000)
                    start_generation(load);
            note_progress();
        }
    }

    /// Resets the statistics, but not the state of the engines and entries.
    void reset_statistics()
    {
        m_read_tokens = 0;
        m_reread_tokens = 0;
        m_read_times.clear();
        for (engine& each : m_engines)
            each.read_tokens = 0;
    }

    /// Returns the share of the tokens read that an engine had used recently.
    double reread_share() const { return m_reread_tokens / m_read_tokens; }

    /// Returns the \a quantile of the times from sending a generation until
    /// its prompt was read.
    duration read_time(double quantile)
    {
        std::sort(m_read_times.begin(), m_read_times.end());
        return m_read_times.at(static_cast<std::size_t>(
            quantile * static_cast<double>(m_read_times.size() - 1)));
    }

    /// Returns the ratio of the tokens that the busiest engine read to the
    /// mean.
    double busiest_to_mean() const
    {
        double most = 0;
        for (const engine& each : m_engines)
            most = std::max(most, each.read_tokens);
        return most * static_cast<double>(m_engines.size()) / m_read_tokens;
    }

private:
    struct engine
    {
        std::unordered_map<std::string, instant> last_used; ///< By segment.
        instant free_at{};
        double read_tokens = 0;
    };
    struct running_generation
    {
        instant read_at{};
        instant ends_at{};
        std::size_t entry = 0;
        target_incarnation target;
        double tokens = 0;
        bool is_read = false;
    };

    static std::string zone(std::size_t number)
    {
        return std::string(1, static_cast<char>('a' + number));
    }

    generation_request make_generation(const workload& load)
    {
        const std::uint64_t topic = m_random.below(load.topics);
        std::uint64_t subtopic = m_random.below(load.subtopics);
        // Each subtopic belongs to one topic.
        subtopic = subtopic - subtopic % load.topics + topic;
        if (m_random.fraction() < load.hot_share)
            subtopic = topic;
        const std::string name = load.name + std::to_string(topic);
        generation_request work;
        work.prompt = {
            {name, load.topic_tokens},
            {name + "/" + std::to_string(subtopic), load.subtopic_tokens},
            {"own" + std::to_string(++m_generations), load.own_tokens}};
        return work;
    }

    void start_generation(const workload& load)
    {
        const std::size_t entry = m_random.below(m_entries.size());
        engine_selector& selector = m_entries[entry];
        const generation_request work = make_generation(load);
        const listed_target* target = selector.choose(
            m_candidates, {}, work, zone(entry % zone_count), m_now);
        const auto index = static_cast<std::size_t>(target - m_targets.data());
        const double expected_tokens =
            selector.note_sent(target->incarnation, work, m_now);
        engine& chosen = m_engines[index];
        const double tokens = read(chosen, work);
        chosen.free_at =
            std::max(chosen.free_at, m_now) +
            duration(static_cast<duration::rep>(tokens * 1e6 / tokens_per_ms));
        m_read_times.push_back(chosen.free_at - m_now);
        m_running.push_back({chosen.free_at,
                             chosen.free_at + load.generation_time, entry,
                             target->incarnation, expected_tokens});
    }

    double read(engine& reader, const generation_request& work)
    {
        double tokens = 0;
        bool is_cached = true;
        for (const prompt_segment& segment : work.prompt)
        {
            const auto found = reader.last_used.find(segment.id);
            is_cached = is_cached && found != reader.last_used.end() &&
                        found->second + cache_lifetime > m_now;
            if (!is_cached)
            {
                tokens += segment.tokens;
                const auto last = m_last_used.find(segment.id);
                if (last != m_last_used.end() &&
                    last->second + reread_window > m_now)
                    m_reread_tokens += segment.tokens;
            }
            reader.last_used[segment.id] = m_now;
            m_last_used[segment.id] = m_now;
        }
        m_read_tokens += tokens;
        reader.read_tokens += tokens;
        return tokens;
    }

    void note_progress()
    {
        for (running_generation& running : m_running)
        {
            if (!running.is_read && running.read_at <= m_now)
            {
                m_entries[running.entry].note_prompt_read(running.target,
                                                          running.tokens);
                running.is_read = true;
            }
            if (running.ends_at <= m_now)
            {
                m_entries[running.entry].note_ended(running.target);
                running.entry = no_entry;
            }
        }
        std::erase_if(m_running, [](const running_generation& running)
                      { return running.entry == no_entry; });
    }

    static constexpr std::size_t no_entry = ~std::size_t{0};

    std::vector<engine_selector> m_entries;
    std::vector<engine> m_engines;
    std::vector<workload> m_workloads;
    std::vector<listed_target> m_targets;
    std::vector<const listed_target*> m_candidates;
    std::unordered_map<std::string, instant> m_last_used; ///< At any engine.
    std::vector<running_generation> m_running;
    std::vector<duration> m_read_times;
    random_source m_random;
    instant m_now{1h};
    std::uint64_t m_generations = 0;
    double m_read_tokens = 0;
    double m_reread_tokens = 0;
};

} // namespace

// Guards against requests that wait for seconds although most engines are idle:
// many requests are about one subtopic, each of a hundred entries sends its few
// of them to the engine that caches that segment, and each entry knows only its
// own requests in progress there, a hundredth of all.
TEST_CASE("requests about a hot subtopic do not queue up at one engine")
{
    auto workloads = usual_workloads(3);
    workloads[0].hot_share = 0.3;
    placement_simulation simulation(100, 300, workloads, 7);
    simulation.advance(4s);
    simulation.reset_statistics();
    simulation.advance(6s);
    CHECK(simulation.read_time(0.95) < 200ms);
    CHECK(simulation.busiest_to_mean() < 10);
}

TEST_CASE("topics of usual popularity stay at one engine each")
{
    placement_simulation simulation(100, 300, usual_workloads(3), 7);
    simulation.advance(4s);
    simulation.reset_statistics();
    simulation.advance(6s);
    CHECK(simulation.reread_share() < 0.08);
    CHECK(simulation.read_time(0.95) < 200ms);
}
