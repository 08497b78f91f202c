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

/// Entries around the real roster that ask each other, with answers that take
/// up to 20 ms, and faults between them.
class roster_world
{
public:
    roster_world(std::size_t count, std::uint64_t seed) : m_random(seed)
    {
        for (std::size_t one = 0; one < count; ++one)
            m_entries.push_back({name_of(one), {}, {}, {}, {}, {}});
    }

    void start(std::size_t one)
    {
        entry& own = m_entries[one];
        own.roster.emplace(own.name, cores_of(one));
        own.roster->set_started(seeds(), m_now);
        own.roster->set_services({service});
        own.roster->set_has_catalog(true);
        own.stopping_since.reset();
        own.links.clear();
        for (const std::string& seed : seeds())
            add(own, seed);
    }

    void stop(std::size_t one) { m_entries[one].roster.reset(); }

    /// Tells an entry to stop; it goes on, and all that it reaches hear of it.
    void begin_stop(std::size_t one)
    {
        entry& own = m_entries[one];
        own.roster->set_stopping(m_now);
        own.stopping_since = m_now;
        for (std::size_t other = 0; other < m_entries.size(); ++other)
            if (other != one && is_up(other) && reaches(one, other))
                m_entries[other].roster->note_stopping(own.name, m_now);
    }

    /// Returns how many stopping entries leave new requests to others.
    std::size_t outlasted() const
    {
        return static_cast<std::size_t>(std::count_if(
            m_entries.begin(), m_entries.end(),
            [](const entry& one)
            { return one.stopping_since && one.roster->is_outlasted(); }));
    }
    void freeze(std::size_t one, duration time)
    {
        m_entries[one].frozen_until = m_now + time;
    }
    void cut(std::size_t left, std::size_t right, duration time)
    {
        m_cuts[std::minmax(left, right)] = m_now + time;
    }

    /// Lets time pass; \a check is asked after each step.
    void pass(
        duration time, const std::function<void()>& check = [] {})
    {
        constexpr duration step = 10ms;
        for (const instant end = m_now + time; m_now < end; m_now += step)
        {
            for (std::size_t one = 0; one < m_entries.size(); ++one)
                if (is_up(one))
                    turn(one);
            check();
        }
    }

    /// Returns the entries that hold themselves for the gatherer.
    std::set<std::string> gatherers() const
    {
        std::set<std::string> found;
        for (std::size_t one = 0; one < m_entries.size(); ++one)
            if (is_up(one) && m_entries[one].roster->is_settled(m_now) &&
                chosen_by(one) == m_entries[one].name)
                found.insert(m_entries[one].name);
        return found;
    }

    /// Returns whom the settled entries take for the gatherer.
    std::set<std::string> chosen() const
    {
        std::set<std::string> found;
        for (std::size_t one = 0; one < m_entries.size(); ++one)
            if (is_up(one) && m_entries[one].roster->is_settled(m_now))
                found.insert(chosen_by(one));
        return found;
    }

    std::size_t below(std::size_t most) { return m_random.below(most); }
    instant now() const { return m_now; }

private:
    struct link
    {
        instant asked_at{};
        instant heard_at{};
        std::optional<instant> answered_at;
    };
    struct entry
    {
        std::string name;
        std::optional<entry_roster> roster;
        std::map<std::string, link> links;
        instant frozen_until{};
        std::set<std::string> told; ///< By those that asked it.
        std::optional<instant> stopping_since;
    };

    static std::string name_of(std::size_t one)
    {
        return "10.0.0." + std::to_string(one) + ":1";
    }
    static double cores_of(std::size_t one) { return one % 4 == 0 ? 0.5 : 0.1; }
    static std::vector<std::string> seeds()
    {
        return {name_of(0), name_of(1), name_of(2)};
    }

    bool is_up(std::size_t one) const
    {
        return m_entries[one].roster && m_entries[one].frozen_until <= m_now;
    }
    const std::string& chosen_by(std::size_t one) const
    {
        return m_entries[one].roster->gatherer_of(service);
    }
    bool reaches(std::size_t left, std::size_t right) const
    {
        const auto found = m_cuts.find(std::minmax(left, right));
        return found == m_cuts.end() || found->second <= m_now;
    }
    void add(entry& own, const std::string& other) const
    {
        if (other != own.name)
            own.links.try_emplace(other, link{{}, m_now, {}});
    }

    void turn(std::size_t one)
    {
        entry& own = m_entries[one];
        for (const std::string& other : std::exchange(own.told, {}))
            add(own, other);
        const std::map<std::string, link> known = own.links;
        for (const auto& [name, seen] : known)
            ask(one, name);
    }

    void ask(std::size_t one, const std::string& name)
    {
        entry& own = m_entries[one];
        link& to = own.links.at(name);
        const std::size_t there = std::stoul(name.substr(name.rfind('.') + 1));
        const auto watch = own.roster->watch_of(name, false, m_now);
        if (to.answered_at && *to.answered_at <= m_now)
            take_answer(one, there);
        if (m_now - to.heard_at > watch.silence)
            own.roster->note_lost(name);
        if (m_now < to.asked_at + watch.interval || !is_up(there) ||
            !reaches(one, there))
            return;
        to.asked_at = m_now;
        to.answered_at = m_now + duration(m_random.below(20000000));
        m_entries[there].told.insert(own.name);
    }

    void take_answer(std::size_t one, std::size_t there)
    {
        entry& own = m_entries[one];
        const entry& other = m_entries[there];
        link& to = own.links.at(other.name);
        to.answered_at.reset();
        if (!is_up(there) || !reaches(one, there))
            return;
        to.heard_at = m_now;
        own.roster->note_answer(
            other.name,
            {cores_of(there), other.stopping_since.has_value(),
             other.roster->is_settled(m_now), other.roster->size(), true,
             other.stopping_since ? m_now - *other.stopping_since
                                  : duration::zero()},
            m_now);
        for (const std::string& told :
             other.roster->some(own.roster->size(), m_random))
            add(own, told);
    }

    std::vector<entry> m_entries;
    std::map<std::pair<std::size_t, std::size_t>, instant> m_cuts;
    random_source m_random;
    instant m_now{1h};
};

/// The silence after which a gatherer that is closely watched is lost, and
/// the question that finds its successor.
constexpr duration agreed_within = 1200ms;

} // namespace

// Two gatherers of one service each send half-filled calls to the same
// targets, which refuse what is too much: requests are late or refused.
// 1. All entries start within 0.4 s, in any order. 2. Nobody may gather side
// by side with another for longer than a question to a seed takes to be asked.
TEST_CASE("entries that start together agree before they gather")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        CAPTURE(seed);
        roster_world world(4 + seed % 3 * 18, seed);
        const std::size_t count = 4 + seed % 3 * 18;
        std::vector<std::size_t> starts(40);
        for (std::size_t one = 0; one < count; ++one)
            ++starts[world.below(starts.size())];
        std::size_t next = 0;
        duration side_by_side{};
        const auto count_them = [&]
        {
            if (world.gatherers().size() > 1)
                side_by_side += 10ms;
        };
        for (const std::size_t some : starts)
        {
            for (std::size_t one = 0; one < some; ++one)
                world.start(next++);
            world.pass(10ms, count_them);
        }
        world.pass(2s, count_them);
        CHECK(side_by_side <= 100ms);
        CHECK(world.chosen().size() == 1);
        CHECK(world.gatherers().size() == 1);
    }
}

// Entries die, freeze, start again and are parted from each other; once that
// is over, all agree within one silence of a gatherer.
TEST_CASE("whatever happens between entries, they agree again")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        CAPTURE(seed);
        constexpr std::size_t count = 12;
        roster_world world(count, seed);
        for (std::size_t one = 0; one < count; ++one)
            world.start(one);
        world.pass(2s);
        for (int fault = 0; fault < 12; ++fault)
        {
            const std::size_t one = world.below(count);
            switch (world.below(4))
            {
            case 0:
                world.stop(one);
                world.pass(duration(world.below(2000000000)));
                world.start(one);
                break;
            case 1:
                world.freeze(one, duration(world.below(3000000000)));
                break;
            case 2:
                world.cut(one, (one + 1 + world.below(count - 1)) % count,
                          duration(world.below(3000000000)));
                break;
            default:
                world.pass(duration(world.below(1000000000)));
            }
        }
        // The last fault ends, and those watched from afar are heard again.
        world.pass(3s + 3s + agreed_within);
        CHECK(world.chosen().size() == 1);
        CHECK(world.gatherers().size() == 1);
    }
}

// The same for a gatherer that dies, as its callers see it: work goes to one
// other entry, soon.
TEST_CASE("after a gatherer's death one other gathers, soon")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
    {
        CAPTURE(seed);
        constexpr std::size_t count = 12;
        roster_world world(count, seed);
        for (std::size_t one = 0; one < count; ++one)
            world.start(one);
        world.pass(3s);
        REQUIRE(world.gatherers().size() == 1);
        const std::string before = *world.gatherers().begin();
        world.stop(std::stoul(before.substr(before.rfind('.') + 1)));
        world.pass(agreed_within);
        CHECK(world.chosen().size() == 1);
        CHECK(world.gatherers().size() == 1);
        CHECK(*world.gatherers().begin() != before);
    }
}

// Guards against entries that each gather for themselves, and send half-filled
// calls to the same targets, while all of them stop.
TEST_CASE("a fleet that stops as a whole has one gatherer until it is back")
{
    for (const std::size_t count : {4, 24, 68})
    {
        CAPTURE(count);
        roster_world world(count, count);
        for (std::size_t one = 0; one < count; ++one)
            world.start(one);
        world.pass(5s);
        duration side_by_side{};
        const auto count_them = [&]
        {
            if (world.gatherers().size() > 1)
                side_by_side += 10ms;
        };
        for (std::size_t one = 0; one < count; ++one)
        {
            world.begin_stop(one);
            world.pass(one % 3 == 2 ? 400ms : 0ms, count_them);
        }
        world.pass(1s, count_them);
        CHECK(world.gatherers().size() == 1);
        CHECK(side_by_side <= 100ms);
        // A quarter at most sends its callers to the others.
        CHECK(world.outlasted() <= count / 4);
        if (count > 4) // Of four, three are told together.
            CHECK(world.outlasted() >= 1);
    }
}

// Guards against work for an entry that cannot make it yet, and fails it.
TEST_CASE("an entry without a configuration gathers nothing while others can")
{
    entry_roster one("a:1", 1);
    one.set_has_catalog(true);
    one.set_stopping(instant(1h));
    one.note_answer("b:1", {1, false, true, 2, false, {}}, instant(1h));
    CHECK(one.gatherer_of(service) == "a:1");
    one.note_answer("b:1", {1, false, true, 2, true, {}}, instant(1h));
    CHECK(one.gatherer_of(service) == "b:1");
}
