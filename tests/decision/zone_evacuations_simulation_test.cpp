#include "decision/random_source.hpp"
#include "decision/zone_evacuations.hpp"

#include <doctest/doctest.h>

#include <deque>

using namespace mangofold::decision;

namespace
{

/// Simulates a source of evacuations and entries that read it, receive updates
/// late or not at all, relay snapshots to each other, and restart.
class zone_simulation
{
public:
    explicit zone_simulation(std::uint64_t seed) : m_random(seed), m_entries(4)
    {
    }

    void step()
    {
        constexpr std::size_t step_kinds = 6;
        entry& self = m_entries[m_random.below(m_entries.size())];
        switch (m_random.below(step_kinds))
        {
        case 0:
            return change_zone();
        case 1:
            return read_all(self);
        case 2:
            return read_next(self);
        case 3:
            self = {};
            return;
        default:
            // Snapshots may be delayed and delivered more than once.
            m_snapshots.push_back(self.known.snapshot());
            if (m_snapshots.size() > 6)
                m_snapshots.pop_front();
            apply(self, m_snapshots[m_random.below(m_snapshots.size())]);
        }
    }

    /// Lets all entries read the source.
    void settle()
    {
        for (entry& self : m_entries)
            read_all(self);
    }

    /// Lets the first entry read the source and relay its state to all others.
    void settle_by_relay()
    {
        read_all(m_entries.front());
        for (entry& self : m_entries)
            apply(self, m_entries.front().known.snapshot());
    }

    std::size_t outdated_entries() const
    {
        std::size_t count = 0;
        for (const entry& self : m_entries)
            count += self.known.evacuated_zones() != evacuated_zones() ? 1 : 0;
        return count;
    }

    /// Returns how often an entry held a state that was older than one it had
    /// held before, or wrong as of its revision.
    std::size_t regressions() const { return m_regressions; }

    /// Returns how often is_complete was wrong.
    std::size_t wrong_completeness() const { return m_wrong_completeness; }

private:
    struct entry
    {
        zone_evacuations known;
        std::uint64_t read_to = 0;
        /// Whether a snapshot based on a full list was received.
        bool has_full_list = false;
        /// Newest revision applied, by zone.
        std::map<std::string, std::uint64_t> newest;
    };

    void change_zone()
    {
        const std::string zone(1, static_cast<char>('a' + m_random.below(3)));
        ++m_revision;
        const bool is_evacuated = !m_evacuated_since.contains(zone);
        if (is_evacuated)
            m_evacuated_since[zone] = m_revision;
        else
            m_evacuated_since.erase(zone);
        m_changes.push_back({zone, m_revision, is_evacuated});
    }

    void read_all(entry& self)
    {
        zone_snapshot received;
        received.complete_as_of = m_revision;
        for (const auto& [zone, revision] : m_evacuated_since)
            received.states.push_back({zone, m_revision, true});
        apply(self, received);
        self.read_to = m_revision;
    }

    void read_next(entry& self)
    {
        if (self.read_to == 0)
            return;
        for (const zone_state& change : m_changes)
            if (change.revision > self.read_to)
            {
                apply(self, {{change}, 0});
                self.read_to = change.revision;
                return;
            }
    }

    void apply(entry& self, const zone_snapshot& received)
    {
        self.known.merge(received);
        self.has_full_list = self.has_full_list || received.complete_as_of > 0;
        m_wrong_completeness +=
            self.known.is_complete() != self.has_full_list ? 1 : 0;
        for (const zone_state& current : self.known.snapshot().states)
        {
            std::uint64_t& newest = self.newest[current.zone];
            m_regressions += current.revision < newest ? 1 : 0;
            newest = std::max(newest, current.revision);
            m_regressions += was_valid(current) ? 0 : 1;
        }
    }

    /// Whether \a state is what the source had as of its revision.
    bool was_valid(const zone_state& state) const
    {
        bool is_evacuated = false;
        for (const zone_state& change : m_changes)
            if (change.zone == state.zone && change.revision <= state.revision)
                is_evacuated = change.is_evacuated;
        return is_evacuated == state.is_evacuated;
    }

    std::set<std::string> evacuated_zones() const
    {
        std::set<std::string> zones;
        for (const auto& [zone, revision] : m_evacuated_since)
            zones.insert(zone);
        return zones;
    }

    random_source m_random;
    std::vector<entry> m_entries;
    std::deque<zone_snapshot> m_snapshots;
    /// Revision of the evacuation, by zone.
    std::map<std::string, std::uint64_t> m_evacuated_since;
    std::vector<zone_state> m_changes;
    std::uint64_t m_revision = 1;
    std::size_t m_regressions = 0;
    std::size_t m_wrong_completeness = 0;
};

constexpr std::uint64_t simulations = 300;
constexpr int steps = 60;

} // namespace

// Guards against entries that send requests to an evacuated zone, or that never
// use a zone again, after updates that came late, twice or not at all.
TEST_CASE("entries never return to an older state for any order of updates")
{
    for (std::uint64_t seed = 1; seed <= simulations; ++seed)
    {
        CAPTURE(seed);
        zone_simulation run(seed);
        for (int step = 0; step < steps; ++step)
            run.step();
        CHECK(run.regressions() == 0);
        CHECK(run.wrong_completeness() == 0);
        if (seed % 2 == 0)
            run.settle();
        else
            run.settle_by_relay();
        CHECK(run.outdated_entries() == 0);
    }
}
