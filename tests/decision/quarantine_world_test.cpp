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

/// A simulation of entries that use the real quarantine and probe each other as
/// often as the real roster says, and of targets that crash whenever they run
/// one poison request. Callers send this request to random entries.
class quarantine_model
{
public:
    quarantine_model(std::size_t count, std::uint64_t seed,
                     bool has_batching_entry)
        : m_random(seed)
    {
        for (std::size_t index = 0; index < count; ++index)
            m_entries.push_back(std::make_unique<entry>(name_of(index)));
        for (std::size_t index = 0; index < count; ++index)
        {
            entry& own = *m_entries[index];
            if (has_batching_entry)
                own.roster.set_services({"rerank"});
            for (std::size_t other = 0; other < count; ++other)
                if (other != index)
                    own.roster.note_answer(name_of(other), {1, false, true, 1},
                                           m_now);
            for (std::size_t other = 0; other < count; ++other)
                own.links.push_back(
                    {other, m_now + up_to(interval(index, other)), 0, 0});
        }
    }

    /// Disconnects an entry from all others.
    void cut(std::size_t index, duration time)
    {
        m_entries[index]->cut_until = m_now + time;
    }

    /// Restarts the process of an entry, which loses all its crash records.
    void restart(std::size_t index)
    {
        m_entries[index]->guard = {};
        for (auto& other : m_entries)
            for (link& to : other->links)
                if (other == m_entries[index] || to.other == index)
                    to.last_sent = to.last_received = 0;
    }

    /// Advances the simulated time, while callers send once in \a gap.
    void advance(duration time, duration gap)
    {
        constexpr duration step = 10ms;
        for (const instant end = m_now + time; m_now < end; m_now += step)
        {
            finish_runs();
            if (m_now >= m_sent_at + gap)
                send();
            for (std::size_t index = 0; index < m_entries.size(); ++index)
                for (link& to : m_entries[index]->links)
                    if (to.other != index && m_now >= to.next_probe)
                        probe(index, to);
        }
    }

    /// Returns the number of entries that would still send the request to a
    /// target.
    std::size_t unaware_entries()
    {
        return static_cast<std::size_t>(std::count_if(
            m_entries.begin(), m_entries.end(),
            [this](const auto& checked)
            {
                return checked->guard
                           .evaluate(poison, m_now, [] { return ordinal(); })
                           .outcome != quarantine::admission::refused;
            }));
    }

    std::size_t crashes() const { return m_crashes; }
    /// Returns the number of records that were new to their receivers.
    std::size_t replicated() const { return m_replicated; }

private:
    static constexpr duration poison_run_time = 100ms;

    struct link
    {
        std::size_t other = 0;
        instant next_probe;
        std::uint64_t last_sent = 0;     ///< The number of a change.
        std::uint64_t last_received = 0; ///< The number of a change.
    };

    struct entry
    {
        explicit entry(const std::string& name) : roster(name, 1) {}
        quarantine guard;
        entry_roster roster;
        std::vector<link> links;
        instant cut_until{};
    };

    struct run
    {
        std::size_t entry_index = 0;
        instant started_at;
    };

    static std::string name_of(std::size_t index)
    {
        return "10.0.0." + std::to_string(index) + ":1";
    }

    duration up_to(duration time)
    {
        return duration(static_cast<duration::rep>(
            m_random() % static_cast<std::uint64_t>(time.count())));
    }

    duration interval(std::size_t index, std::size_t other) const
    {
        return m_entries[index]
            ->roster.probe_schedule_for(name_of(other), false, m_now)
            .interval;
    }

    bool is_cut(std::size_t index) const
    {
        return m_entries[index]->cut_until > m_now;
    }

    void send()
    {
        m_sent_at = m_now;
        const std::size_t entry_index = m_random() % m_entries.size();
        entry& own = *m_entries[entry_index];
        const auto verdict = own.guard.evaluate(
            poison, m_now, [&] { return own.roster.ordinal_for("poison"); });
        if (verdict.outcome != quarantine::admission::refused)
            m_runs.push_back({entry_index, m_now});
    }

    void finish_runs()
    {
        for (const run& finished : m_runs)
            if (m_now >= finished.started_at + poison_run_time)
            {
                const std::string target = "t" + std::to_string(++m_crashes);
                m_entries[finished.entry_index]->guard.note_crash(
                    {poison, {target, 1}, finished.started_at, m_now, false},
                    m_now);
            }
        std::erase_if(m_runs,
                      [this](const run& finished) {
                          return m_now >= finished.started_at + poison_run_time;
                      });
    }

    /// Runs one probe and its answer, each with the records that the receiver
    /// may lack.
    void probe(std::size_t index, link& to)
    {
        to.next_probe = m_now + interval(index, to.other);
        if (is_cut(index) || is_cut(to.other))
            return;
        crash_log& own = m_entries[index]->guard.crashes();
        crash_log& remote = m_entries[to.other]->guard.crashes();
        if (own.summary() == remote.summary())
            return;
        for (const target_crash& crash :
             own.changes_after(to.last_sent, 100, m_now))
            m_replicated += remote.note(crash, m_now) ? 1 : 0;
        for (const target_crash& crash :
             remote.changes_after(to.last_received, 100, m_now))
            m_replicated += own.note(crash, m_now) ? 1 : 0;
    }

    std::mt19937_64 m_random;
    instant m_now = instant() + 2h;
    instant m_sent_at{};
    std::vector<std::unique_ptr<entry>> m_entries;
    std::vector<run> m_runs;
    std::size_t m_crashes = 0;
    std::size_t m_replicated = 0;
};

} // namespace

// Guards against losing a target to a poison request on each entry that it
// reaches: the crashes that one entry saw must be replicated to the others
// before the request arrives there. The request is sent every 0.4 s to a random
// entry.
TEST_CASE("a request costs three targets, whatever the size of the fleet")
{
    for (const std::size_t count : {1U, 6U, 68U, 300U})
        for (const bool has_batching_entry : {true, false})
        {
            CAPTURE(count);
            CAPTURE(has_batching_entry);
            quarantine_model model(count, 5 + count, has_batching_entry);
            while (model.crashes() < quarantine::max_incidents)
                model.advance(10ms, 400ms);
            duration spread{};
            for (; model.unaware_entries() > 0 && spread < 10s; spread += 10ms)
                model.advance(10ms, 400ms);
            // The shortest limit that any deployment sets is three seconds.
            CHECK(spread <= 1s);
            model.advance(5s, 400ms);
            // One more may be in progress while the third crash is replicated.
            CHECK(model.crashes() <= quarantine::max_incidents + 1);
            // No entry receives a record as new twice.
            CHECK(model.replicated() <= model.crashes() * count);
        }
}

// The same if the request is sent faster than it can crash a target: sends that
// are in progress before the first crash is known cannot be recalled.
TEST_CASE("concurrent sends of a request cost only their own targets")
{
    quarantine_model model(68, 3, true);
    model.advance(10s, 50ms);
    CHECK(model.unaware_entries() == 0);
    // Incidents are half a second apart; with the replication time, that is the
    // number of sends in 1.5 s.
    CHECK(model.crashes() <= 30);
}

// An entry that was disconnected from the others, and one that has just
// started, must know of the crashes within a second of their connection.
TEST_CASE("reconnected and restarted entries catch up on the crashes")
{
    quarantine_model model(68, 11, true);
    model.cut(7, 8s);
    model.advance(6s, 400ms);
    CHECK(model.unaware_entries() == 1);
    model.restart(9);
    model.advance(4s, 100s);
    CHECK(model.unaware_entries() == 0);
}

// Guards against a trial by each entry once the refusal time of a minute is
// over. After the failed trial, the request must be refused for longer.
TEST_CASE("a trial costs one target, not one for each entry")
{
    quarantine_model model(6, 4, true);
    model.advance(60s, 300ms);
    const std::size_t before = model.crashes();
    model.advance(110s, 300ms);
    CHECK(model.crashes() == before + 1);
    CHECK(model.unaware_entries() == 0);
}
