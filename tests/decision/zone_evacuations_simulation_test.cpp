#include "decision/random_source.hpp"
#include "decision/zone_evacuations.hpp"

#include <doctest/doctest.h>

#include <deque>

using namespace mangofold::decision;

namespace
{

/// A source of evacuations and the entries that read it: each is behind by
/// what it has not been told, some are cut off, some start again.
class zones_world
{
public:
    explicit zones_world(std::uint64_t seed) : m_random(seed), m_entries(4) {}

    void step()
    {
        constexpr std::size_t sorts = 6;
        entry& one = m_entries[m_random.below(m_entries.size())];
        switch (m_random.below(sorts))
        {
        case 0:
            return change();
        case 1:
            return read_all(one);
        case 2:
            return read_next(one);
        case 3:
            one = {};
            return;
        default:
            // What was told may be on its way for long.
            m_told.push_back(one.known.snapshot());
            if (m_told.size() > 6)
                m_told.pop_front();
            take(one, m_told[m_random.below(m_told.size())]);
        }
    }

    /// Lets all entries read.
    void settle()
    {
        for (entry& one : m_entries)
            read_all(one);
    }

    /// Lets all entries hear of the first one, which alone can read.
    void settle_by_first()
    {
        read_all(m_entries.front());
        for (entry& one : m_entries)
            take(one, m_entries.front().known.snapshot());
    }

    std::size_t entries_that_differ() const
    {
        std::size_t count = 0;
        for (const entry& one : m_entries)
            count += one.known.evacuated_zones() != evacuated_zones() ? 1 : 0;
        return count;
    }

    /// Returns how often an entry went back to what had held before.
    std::size_t went_back() const { return m_went_back; }

    /// Returns how often an entry was wrong on whether it knows all.
    std::size_t claimed() const { return m_claimed; }

private:
    struct entry
    {
        zone_evacuations known;
        std::uint64_t read_to = 0;
        bool has_heard_all = false; ///< From one who had read all.
        std::map<std::string, std::uint64_t> newest; ///< That it has taken.
    };

    void change()
    {
        const std::string zone(1, static_cast<char>('a' + m_random.below(3)));
        ++m_revision;
        const bool is_evacuated = !m_now.contains(zone);
        if (is_evacuated)
            m_now[zone] = m_revision;
        else
            m_now.erase(zone);
        m_changes.push_back({zone, m_revision, is_evacuated});
    }

    void read_all(entry& one)
    {
        zone_snapshot words;
        words.complete_as_of = m_revision;
        for (const auto& [zone, revision] : m_now)
            words.states.push_back({zone, m_revision, true});
        take(one, words);
        one.read_to = m_revision;
    }

    void read_next(entry& one)
    {
        if (one.read_to == 0)
            return;
        for (const zone_state& word : m_changes)
            if (word.revision > one.read_to)
            {
                take(one, {{word}, 0});
                one.read_to = word.revision;
                return;
            }
    }

    void take(entry& one, const zone_snapshot& words)
    {
        one.known.merge(words);
        one.has_heard_all = one.has_heard_all || words.complete_as_of > 0;
        m_claimed += one.known.is_complete() != one.has_heard_all ? 1 : 0;
        for (const zone_state& now : one.known.snapshot().states)
        {
            std::uint64_t& newest = one.newest[now.zone];
            m_went_back += now.revision < newest ? 1 : 0;
            newest = std::max(newest, now.revision);
            m_went_back += held(now) ? 0 : 1;
        }
    }

    /// Whether what a word says held as of its revision.
    bool held(const zone_state& word) const
    {
        bool is_evacuated = false;
        for (const zone_state& one : m_changes)
            if (one.zone == word.zone && one.revision <= word.revision)
                is_evacuated = one.is_evacuated;
        return is_evacuated == word.is_evacuated;
    }

    std::set<std::string> evacuated_zones() const
    {
        std::set<std::string> zones;
        for (const auto& [zone, revision] : m_now)
            zones.insert(zone);
        return zones;
    }

    random_source m_random;
    std::vector<entry> m_entries;
    std::deque<zone_snapshot> m_told;
    std::map<std::string, std::uint64_t> m_now; ///< Evacuated, since when.
    std::vector<zone_state> m_changes;
    std::uint64_t m_revision = 1;
    std::size_t m_went_back = 0;
    std::size_t m_claimed = 0;
};

constexpr std::uint64_t worlds = 300;
constexpr int steps = 60;

} // namespace

// Guards against entries that send into an evacuated zone, or leave one unused
// for good, after words that came late, twice or not at all.
TEST_CASE("whatever entries hear in whatever order, none goes back")
{
    for (std::uint64_t seed = 1; seed <= worlds; ++seed)
    {
        CAPTURE(seed);
        zones_world world(seed);
        for (int step = 0; step < steps; ++step)
            world.step();
        CHECK(world.went_back() == 0);
        CHECK(world.claimed() == 0);
        if (seed % 2 == 0)
            world.settle();
        else
            world.settle_by_first();
        CHECK(world.entries_that_differ() == 0);
    }
}
