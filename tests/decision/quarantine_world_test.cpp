#include "decision/entry_roster.hpp"
#include "decision/quarantine.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const digest poison{1, 1};

/// Entries around the real quarantine that ask each other as often as the real
/// roster says, and targets that end whenever they begin one request. Callers
/// send it to random entries.
class quarantine_world
{
public:
    quarantine_world(std::size_t count, std::uint64_t seed, bool has_gatherer)
        : m_random(seed)
    {
        for (std::size_t one = 0; one < count; ++one)
            m_entries.push_back(std::make_unique<entry>(name_of(one)));
        for (std::size_t one = 0; one < count; ++one)
        {
            entry& own = *m_entries[one];
            if (has_gatherer)
                own.roster.set_services({"rerank"});
            for (std::size_t other = 0; other < count; ++other)
                if (other != one)
                    own.roster.note_answer(name_of(other), {1, false, true, 1},
                                           m_now);
            for (std::size_t other = 0; other < count; ++other)
                own.links.push_back(
                    {other, m_now + up_to(interval(one, other)), 0, 0});
        }
    }

    void cut(std::size_t one, duration time)
    {
        m_entries[one]->away_until = m_now + time;
    }

    /// Ends the process of an entry; the next one knows nothing.
    void restart(std::size_t one)
    {
        m_entries[one]->known = {};
        for (auto& other : m_entries)
            for (link& to : other->links)
                if (other == m_entries[one] || to.other == one)
                    to.told = to.heard = 0;
    }

    /// Lets time pass while callers ask once in \a gap.
    void pass(duration time, duration gap)
    {
        constexpr duration step = 10ms;
        for (const instant end = m_now + time; m_now < end; m_now += step)
        {
            end_runs();
            if (m_now >= m_asked_at + gap)
                ask();
            for (std::size_t one = 0; one < m_entries.size(); ++one)
                for (link& to : m_entries[one]->links)
                    if (to.other != one && m_now >= to.next)
                        tell(one, to);
        }
    }

    /// Returns the entries that would still send the request to a target.
    std::size_t unaware()
    {
        return static_cast<std::size_t>(std::count_if(
            m_entries.begin(), m_entries.end(),
            [this](const auto& one)
            {
                return one->known.judge(poison, m_now, [] { return seat(); })
                           .how != quarantine::admission::refused;
            }));
    }

    std::size_t ended() const { return m_ended; }
    std::size_t told() const { return m_told; }

private:
    static constexpr duration run_time = 100ms;

    struct link
    {
        std::size_t other = 0;
        instant next;
        std::uint64_t told = 0;
        std::uint64_t heard = 0;
    };

    struct entry
    {
        explicit entry(const std::string& name) : roster(name, 1) {}
        quarantine known;
        entry_roster roster;
        std::vector<link> links;
        instant away_until{};
    };

    struct run
    {
        std::size_t at = 0;
        instant began;
    };

    static std::string name_of(std::size_t one)
    {
        return "10.0.0." + std::to_string(one) + ":1";
    }

    duration up_to(duration time)
    {
        return duration(static_cast<duration::rep>(
            m_random() % static_cast<std::uint64_t>(time.count())));
    }

    duration interval(std::size_t one, std::size_t other) const
    {
        return m_entries[one]
            ->roster.watch_of(name_of(other), false, m_now)
            .interval;
    }

    bool is_away(std::size_t one) const
    {
        return m_entries[one]->away_until > m_now;
    }

    void ask()
    {
        m_asked_at = m_now;
        const std::size_t at = m_random() % m_entries.size();
        entry& own = *m_entries[at];
        const auto said = own.known.judge(
            poison, m_now, [&] { return own.roster.seat_for("poison"); });
        if (said.how != quarantine::admission::refused)
            m_runs.push_back({at, m_now});
    }

    void end_runs()
    {
        for (const run& one : m_runs)
            if (m_now >= one.began + run_time)
            {
                const std::string target = "t" + std::to_string(++m_ended);
                m_entries[one.at]->known.note_end(
                    {poison, {target, 1}, one.began, m_now, false}, m_now);
            }
        std::erase_if(m_runs, [this](const run& one)
                      { return m_now >= one.began + run_time; });
    }

    /// One question and its answer, with what each lacks.
    void tell(std::size_t one, link& to)
    {
        to.next = m_now + interval(one, to.other);
        if (is_away(one) || is_away(to.other))
            return;
        target_ends& here = m_entries[one]->known.ends();
        target_ends& there = m_entries[to.other]->known.ends();
        if (here.summary() == there.summary())
            return;
        for (const target_end& news : here.since(to.told, 100, m_now))
            m_told += there.note(news, m_now) ? 1 : 0;
        for (const target_end& news : there.since(to.heard, 100, m_now))
            m_told += here.note(news, m_now) ? 1 : 0;
    }

    std::mt19937_64 m_random;
    instant m_now = instant() + 2h;
    instant m_asked_at{};
    std::vector<std::unique_ptr<entry>> m_entries;
    std::vector<run> m_runs;
    std::size_t m_ended = 0;
    std::size_t m_told = 0;
};

} // namespace

// Callers lose target after target to one request that they send to all
// entries: what one entry has seen, the others must know before it reaches
// them. Every 0.4 s another sending comes, at any entry.
TEST_CASE("three targets are lost to a request, whatever the fleet's size")
{
    for (const std::size_t count : {1U, 6U, 68U, 300U})
        for (const bool has_gatherer : {true, false})
        {
            CAPTURE(count);
            CAPTURE(has_gatherer);
            quarantine_world fleet(count, 5 + count, has_gatherer);
            while (fleet.ended() < quarantine::most_ends)
                fleet.pass(10ms, 400ms);
            duration spread{};
            for (; fleet.unaware() > 0 && spread < 10s; spread += 10ms)
                fleet.pass(10ms, 400ms);
            // The shortest bound that any deployment sets is three seconds.
            CHECK(spread <= 1s);
            fleet.pass(5s, 400ms);
            // One may be on its way while the third end is told.
            CHECK(fleet.ended() <= quarantine::most_ends + 1);
            // Nobody is told what it knows.
            CHECK(fleet.told() <= fleet.ended() * count);
        }
}

// The same where sendings come faster than they can end a target: those that
// are in progress before anything is known cannot be called back.
TEST_CASE("sendings beside each other cost their own targets only")
{
    quarantine_world fleet(68, 3, true);
    fleet.pass(10s, 50ms);
    CHECK(fleet.unaware() == 0);
    // Occasions half a second apart, and the spread: 1.5 s of sendings.
    CHECK(fleet.ended() <= 30);
}

// An entry that was cut off from the others, and one that has just started,
// know within a second of their return.
TEST_CASE("entries that were away hear of it when they are back")
{
    quarantine_world fleet(68, 11, true);
    fleet.cut(7, 8s);
    fleet.pass(6s, 400ms);
    CHECK(fleet.unaware() == 1);
    fleet.restart(9);
    fleet.pass(4s, 100s);
    CHECK(fleet.unaware() == 0);
}

// After its minute the request is tried again: at one target, not at one for
// each entry, and then kept away for longer.
TEST_CASE("a trial costs one target, not one for each entry")
{
    quarantine_world fleet(6, 4, true);
    fleet.pass(60s, 300ms);
    const std::size_t before = fleet.ended();
    fleet.pass(110s, 300ms);
    CHECK(fleet.ended() == before + 1);
    CHECK(fleet.unaware() == 0);
}
