#include "decision/entry_roster.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const std::string service = "rerank";

/// A simulation of entries that use the real roster and probe each other, with
/// answers that take up to 20 ms, and of faults of entries and connections.
class roster_model
{
public:
    roster_model(std::size_t count, std::uint64_t seed) : m_random(seed)
    {
        for (std::size_t index = 0; index < count; ++index)
            m_entries.push_back({address_of(index), {}, {}, {}, {}, {}});
    }

    void start(std::size_t index)
    {
        entry& own = m_entries[index];
        own.roster.emplace(own.address, cores_of(index));
        own.roster->set_started(seeds(), m_now);
        own.roster->set_services({service});
        own.roster->set_has_catalog(true);
        own.stopping_since.reset();
        own.links.clear();
        for (const std::string& seed : seeds())
            add(own, seed);
    }

    void stop(std::size_t index) { m_entries[index].roster.reset(); }

    /// Tells an entry to stop. It keeps running, and announces this to all
    /// entries that it can reach.
    void begin_stopping(std::size_t index)
    {
        entry& own = m_entries[index];
        own.roster->set_stopping(m_now);
        own.stopping_since = m_now;
        for (std::size_t other = 0; other < m_entries.size(); ++other)
            if (other != index && is_up(other) && reaches(index, other))
                m_entries[other].roster->note_stopping(own.address, m_now);
    }

    /// Returns the number of stopping entries that refuse new requests, since
    /// most entries outlast them.
    std::size_t outlasted() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_entries.begin(), m_entries.end(),
                          [](const entry& counted) {
                              return counted.stopping_since &&
                                     counted.roster->has_remaining_peers();
                          }));
    }

    void freeze(std::size_t index, duration time)
    {
        m_entries[index].frozen_until = m_now + time;
    }
    void cut(std::size_t left, std::size_t right, duration time)
    {
        m_cuts[std::minmax(left, right)] = m_now + time;
    }

    /// Advances the simulated time and calls \a check after each step.
    void advance(
        duration time, const std::function<void()>& check = [] {})
    {
        constexpr duration step = 10ms;
        for (const instant end = m_now + time; m_now < end; m_now += step)
        {
            for (std::size_t index = 0; index < m_entries.size(); ++index)
                if (is_up(index))
                    step_entry(index);
            check();
        }
    }

    /// Returns the settled entries that elect themselves as the batching entry.
    std::set<std::string> batching_entries() const
    {
        std::set<std::string> found;
        for (std::size_t index = 0; index < m_entries.size(); ++index)
            if (is_up(index) && m_entries[index].roster->is_settled(m_now) &&
                elected_by(index) == m_entries[index].address)
                found.insert(m_entries[index].address);
        return found;
    }

    /// Returns the entries that the settled entries elect as the batching
    /// entry.
    std::set<std::string> elected_entries() const
    {
        std::set<std::string> found;
        for (std::size_t index = 0; index < m_entries.size(); ++index)
            if (is_up(index) && m_entries[index].roster->is_settled(m_now))
                found.insert(elected_by(index));
        return found;
    }

    std::size_t below(std::size_t limit) { return m_random.below(limit); }
    instant now() const { return m_now; }

private:
    struct link
    {
        instant probed_at{};
        instant heard_at{};
        std::optional<instant> answered_at;
    };
    struct entry
    {
        std::string address;
        std::optional<entry_roster> roster;
        std::map<std::string, link> links;
        instant frozen_until{};
        std::set<std::string> probed_by; ///< Entries that probed it.
        std::optional<instant> stopping_since;
    };

    static std::string address_of(std::size_t index)
    {
        return "10.0.0." + std::to_string(index) + ":1";
    }
    static double cores_of(std::size_t index)
    {
        return index % 4 == 0 ? 0.5 : 0.1;
    }
    static std::vector<std::string> seeds()
    {
        return {address_of(0), address_of(1), address_of(2)};
    }

    bool is_up(std::size_t index) const
    {
        return m_entries[index].roster &&
               m_entries[index].frozen_until <= m_now;
    }
    const std::string& elected_by(std::size_t index) const
    {
        return m_entries[index].roster->batching_entry(service);
    }
    bool reaches(std::size_t left, std::size_t right) const
    {
        const auto found = m_cuts.find(std::minmax(left, right));
        return found == m_cuts.end() || found->second <= m_now;
    }
    void add(entry& own, const std::string& other) const
    {
        if (other != own.address)
            own.links.try_emplace(other, link{{}, m_now, {}});
    }

    void step_entry(std::size_t index)
    {
        entry& own = m_entries[index];
        for (const std::string& other : std::exchange(own.probed_by, {}))
            add(own, other);
        const std::map<std::string, link> known = own.links;
        for (const auto& [address, state] : known)
            probe(index, address);
    }

    void probe(std::size_t index, const std::string& address)
    {
        entry& own = m_entries[index];
        link& to = own.links.at(address);
        const std::size_t other_index =
            std::stoul(address.substr(address.rfind('.') + 1));
        const auto schedule =
            own.roster->probe_schedule_for(address, false, m_now);
        if (to.answered_at && *to.answered_at <= m_now)
            take_answer(index, other_index);
        if (m_now - to.heard_at > schedule.timeout)
            own.roster->note_lost(address);
        if (m_now < to.probed_at + schedule.interval || !is_up(other_index) ||
            !reaches(index, other_index))
            return;
        to.probed_at = m_now;
        to.answered_at = m_now + duration(m_random.below(20000000));
        m_entries[other_index].probed_by.insert(own.address);
    }

    void take_answer(std::size_t index, std::size_t other_index)
    {
        entry& own = m_entries[index];
        const entry& other = m_entries[other_index];
        link& to = own.links.at(other.address);
        to.answered_at.reset();
        if (!is_up(other_index) || !reaches(index, other_index))
            return;
        to.heard_at = m_now;
        own.roster->note_answer(
            other.address,
            {cores_of(other_index), other.stopping_since.has_value(),
             other.roster->is_settled(m_now), other.roster->size(), true,
             other.stopping_since ? m_now - *other.stopping_since
                                  : duration::zero()},
            m_now);
        for (const std::string& listed :
             other.roster->sample(own.roster->size(), m_random))
            add(own, listed);
    }

    std::vector<entry> m_entries;
    std::map<std::pair<std::size_t, std::size_t>, instant> m_cuts;
    random_source m_random;
    instant m_now{1h};
};

/// The timeout after which a batching entry is lost, and the probe that finds
/// its successor.
constexpr duration agreement_time = 1200ms;

} // namespace

// Guards against two entries that batch for one service at the same time: both
// send half-filled calls to the same targets, which refuse the excess, and
// requests are late or refused. All entries start within 0.4 s, in any order;
// two may batch at the same time for no longer than one probe interval of a
// seed.
TEST_CASE("entries that start together agree before they batch")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        CAPTURE(seed);
        roster_model model(4 + seed % 3 * 18, seed);
        const std::size_t count = 4 + seed % 3 * 18;
        std::vector<std::size_t> starts(40);
        for (std::size_t index = 0; index < count; ++index)
            ++starts[model.below(starts.size())];
        std::size_t next = 0;
        duration overlap{};
        const auto measure_overlap = [&]
        {
            if (model.batching_entries().size() > 1)
                overlap += 10ms;
        };
        for (const std::size_t starting : starts)
        {
            for (std::size_t started = 0; started < starting; ++started)
                model.start(next++);
            model.advance(10ms, measure_overlap);
        }
        model.advance(2s, measure_overlap);
        CHECK(overlap <= 100ms);
        CHECK(model.elected_entries().size() == 1);
        CHECK(model.batching_entries().size() == 1);
    }
}

// Entries die, freeze, restart and are disconnected from each other. Once these
// faults are over, all must agree within one timeout of a batching entry.
TEST_CASE("entries agree again after any sequence of faults")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        CAPTURE(seed);
        constexpr std::size_t count = 12;
        roster_model model(count, seed);
        for (std::size_t index = 0; index < count; ++index)
            model.start(index);
        model.advance(2s);
        for (int fault = 0; fault < 12; ++fault)
        {
            const std::size_t index = model.below(count);
            switch (model.below(4))
            {
            case 0:
                model.stop(index);
                model.advance(duration(model.below(2000000000)));
                model.start(index);
                break;
            case 1:
                model.freeze(index, duration(model.below(3000000000)));
                break;
            case 2:
                model.cut(index, (index + 1 + model.below(count - 1)) % count,
                          duration(model.below(3000000000)));
                break;
            default:
                model.advance(duration(model.below(1000000000)));
            }
        }
        // The last fault ends, and entries that are seldom probed answer again.
        model.advance(3s + 3s + agreement_time);
        CHECK(model.elected_entries().size() == 1);
        CHECK(model.batching_entries().size() == 1);
    }
}

// Guards against work that stays with a batching entry that has crashed: it
// must go to one other entry soon.
TEST_CASE("after the loss of a batching entry, one other entry batches soon")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
    {
        CAPTURE(seed);
        constexpr std::size_t count = 12;
        roster_model model(count, seed);
        for (std::size_t index = 0; index < count; ++index)
            model.start(index);
        model.advance(3s);
        REQUIRE(model.batching_entries().size() == 1);
        const std::string before = *model.batching_entries().begin();
        model.stop(std::stoul(before.substr(before.rfind('.') + 1)));
        model.advance(agreement_time);
        CHECK(model.elected_entries().size() == 1);
        CHECK(model.batching_entries().size() == 1);
        CHECK(*model.batching_entries().begin() != before);
    }
}

// Guards against entries that each batch for themselves, and send half-filled
// calls to the same targets, while all of them are stopping.
TEST_CASE("a fleet that stops as a whole keeps one batching entry")
{
    for (const std::size_t count : {4, 24, 68})
    {
        CAPTURE(count);
        roster_model model(count, count);
        for (std::size_t index = 0; index < count; ++index)
            model.start(index);
        model.advance(5s);
        duration overlap{};
        const auto measure_overlap = [&]
        {
            if (model.batching_entries().size() > 1)
                overlap += 10ms;
        };
        for (std::size_t index = 0; index < count; ++index)
        {
            model.begin_stopping(index);
            model.advance(index % 3 == 2 ? 400ms : 0ms, measure_overlap);
        }
        model.advance(1s, measure_overlap);
        CHECK(model.batching_entries().size() == 1);
        CHECK(overlap <= 100ms);
        // A quarter of the entries at most refuses its callers.
        CHECK(model.outlasted() <= count / 4);
        if (count > 4) // Of four, three are told to stop together.
            CHECK(model.outlasted() >= 1);
    }
}

// Guards against work that is given to an entry that cannot do it yet, and
// fails.
TEST_CASE("an entry without a configuration batches nothing while others can")
{
    entry_roster roster("a:1", 1);
    roster.set_has_catalog(true);
    roster.set_stopping(instant(1h));
    roster.note_answer("b:1", {1, false, true, 2, false, {}}, instant(1h));
    CHECK(roster.batching_entry(service) == "a:1");
    roster.note_answer("b:1", {1, false, true, 2, true, {}}, instant(1h));
    CHECK(roster.batching_entry(service) == "b:1");
}
