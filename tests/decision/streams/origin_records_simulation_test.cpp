#include "decision/random_source.hpp"
#include "decision/streams/origin_records.hpp"
#include "decision/streams/record_adoption.hpp"
#include "decision/streams/record_handover.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <optional>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

/// Simulates entries that record streams, send each other and record keepers
/// copies, some of which are lost or late, and that are killed and start again
/// without records, as the keepers do.
class stream_fleet
{
public:
    stream_fleet(std::uint64_t seed, std::size_t entries,
                 std::size_t keepers = 0)
        : m_random(seed)
    {
        for (std::size_t number = 0; number < keepers; ++number)
            start_keeper();
        for (std::size_t number = 0; number < entries; ++number)
            restart("10.0.0." + std::to_string(number));
        settle();
    }

    /// Has a stream begin at a random entry, at a random version.
    void begin_stream()
    {
        const std::string request = std::to_string(m_streams.size());
        const stream_key key = make_stream_key("club", "h", "/", request);
        const stream_origin origin{"chat",
                                   "v" + std::to_string(m_random.below(3))};
        const std::string address = random_entry();
        origin_records& at = *m_entries.at(address);
        at.note(key, {origin, m_now, m_now + 20s, false});
        send_copies(address, key);
        m_streams.push_back({key, origin, address});
    }

    void kill(const std::string& address)
    {
        m_entries.at(address) = nullptr;
        m_unnoticed.push_back(address);
    }

    /// Kills all entries; they start again before anything is noticed.
    void restart_all()
    {
        for (const std::string& address : live_entries())
            kill(address);
        for (auto& [address, entry] : m_entries)
            restart(address);
    }

    /// Has a random record keeper start again without records.
    void restart_keeper()
    {
        auto keeper = m_keepers.begin();
        std::advance(keeper, m_random.below(m_keepers.size()));
        keeper->second = {origin_records(), ++m_processes, {}};
        m_unnoticed.push_back(keeper->first);
    }

    void restart(const std::string& address)
    {
        m_now += 1ms;
        m_entries[address] = std::make_unique<origin_records>();
        m_adoptions[address] = {{}, m_now};
    }

    /// Has a record keeper start at an address of its own.
    void start_keeper()
    {
        ++m_processes;
        m_keepers["10.1.0." + std::to_string(m_processes)].born = m_processes;
    }

    /// Has a record keeper leave for good; its records are lost.
    void remove_keeper(const std::string& address)
    {
        m_keepers.erase(address);
        m_unnoticed.push_back(address);
    }

    /// Has a record keeper hand on its records and leave.
    void stop_keeper(const std::string& address)
    {
        const keeper_process from = m_keepers.at(address);
        std::uint64_t last = 0;
        const auto records = from.records.changes_after(last, 1000);
        remove_keeper(address);
        record_handover handover(from.successors, records.empty() ? 0 : 1,
                                 m_now);
        for (; !handover.is_done(m_now); m_now += 10ms)
            for (const auto& sent : handover.take_due(m_now))
                if (origin_records* receiver = records_of(sent.to))
                {
                    for (const auto& [key, known] : records)
                        receiver->note(key, known);
                    handover.note_reply(sent.to, sent.number);
                }
    }

    /// The record keepers, those that started first at the front.
    std::vector<std::string> keepers() const
    {
        std::vector<std::pair<std::uint64_t, std::string>> by_age;
        for (const auto& [address, keeper] : m_keepers)
            by_age.emplace_back(keeper.born, address);
        std::sort(by_age.begin(), by_age.end());
        std::vector<std::string> addresses;
        for (const auto& [born, address] : by_age)
            addresses.push_back(address);
        return addresses;
    }

    /// All entries read their record keepers and place what they adopt.
    void adopt()
    {
        m_now += record_adoption::interval;
        for (const std::string& address : live_entries())
            adopt(address);
        deliver();
    }

    /// One random step; copies are lost with the probability \a loss.
    void step(double loss)
    {
        m_loss = loss;
        m_now += 50ms;
        switch (m_random.below(m_keepers.empty() ? 6 : 9))
        {
        case 8:
            return adopt();
        case 6:
            return restart_keeper();
        case 7:
            return m_random.below(4) == 0 ? restart_all() : deliver();
        case 0:
            return begin_stream();
        case 1:
            if (live_entries().size() > 1)
                kill(random_entry());
            return;
        case 2:
            for (auto& [address, entry] : m_entries)
                if (entry == nullptr)
                    restart(address);
            return;
        case 3:
            return deliver();
        case 4:
            return notice_losses();
        default:
            return maintain(random_entry());
        }
    }

    /// All entries notice what has happened, and all copies arrive.
    void settle()
    {
        m_loss = 0;
        notice_losses();
        for (const std::string& address : live_entries())
            maintain(address);
        deliver();
    }

    /// What the entry at \a address finds of the stream \a number: its own
    /// record, or that of an entry that it asks.
    std::optional<stream_origin> find(const std::string& address,
                                      std::size_t number) const
    {
        const stream_key& key = m_streams[number].key;
        const origin_records& own = *m_entries.at(address);
        if (const auto* known = own.find(key, m_now))
            return known->origin;
        for (const std::string& holder : own.likely_holders(key))
            if (const origin_records* other = records_of(holder))
                if (const auto* known = other->find(key, m_now))
                    return known->origin;
        return std::nullopt;
    }

    std::size_t streams() const { return m_streams.size(); }
    const stream_origin& origin(std::size_t number) const
    {
        return m_streams[number].origin;
    }
    const std::string& begun_at(std::size_t number) const
    {
        return m_streams[number].begun_at;
    }

    std::vector<std::string> live_entries() const
    {
        std::vector<std::string> live;
        for (const auto& [address, entry] : m_entries)
            if (entry != nullptr)
                live.push_back(address);
        return live;
    }

    std::string random_entry()
    {
        const auto live = live_entries();
        return live[m_random.below(live.size())];
    }

    /// Returns how many streams are not found at some live entry.
    std::size_t missing_streams() const
    {
        std::size_t missing = 0;
        for (std::size_t number = 0; number < streams(); ++number)
        {
            const auto live = live_entries();
            missing += std::any_of(live.begin(), live.end(),
                                   [&](const std::string& address)
                                   { return !find(address, number); });
        }
        return missing;
    }

    /// Returns how often an entry finds another origin than the true one.
    std::size_t wrong_origins() const
    {
        std::size_t wrong = 0;
        for (std::size_t number = 0; number < streams(); ++number)
            for (const std::string& address : live_entries())
            {
                const auto found = find(address, number);
                wrong += found && *found != origin(number);
            }
        return wrong;
    }

    void deliver()
    {
        for (const copy& sent : m_copies)
            if (origin_records* receiver = records_of(sent.to))
                receiver->note(sent.key, sent.known);
        m_copies.clear();
    }

    void maintain(const std::string& address)
    {
        auto others = live_entries();
        std::erase(others, address);
        m_entries.at(address)->set_entries(others);
        std::vector<std::string> keepers;
        for (const auto& [keeper, state] : m_keepers)
            keepers.push_back(keeper);
        m_entries.at(address)->set_keepers(keepers,
                                           {keepers.begin(), keepers.end()});
        m_adoptions.at(address).keepers.set_processes(address, others, keepers);
        for (const stream_key& key : m_entries.at(address)->keys())
            send_copies(address, key);
    }

private:
    struct stream
    {
        stream_key key;
        stream_origin origin;
        std::string begun_at;
    };

    struct copy
    {
        std::string to;
        stream_key key;
        origin_records::record known;
    };

    struct keeper_process
    {
        origin_records records;
        std::uint64_t born = 0;
        std::vector<std::string> successors;
    };

    struct adoption
    {
        record_adoption keepers;
        instant started_at;
    };

    void adopt(const std::string& address)
    {
        adoption& at = m_adoptions.at(address);
        for (;;)
        {
            const auto due = at.keepers.take_due(m_now);
            if (due.empty())
                break;
            for (const auto& question : due)
                read(address, question);
        }
        for (const stream_key& key : at.keepers.take_unplaced(m_now))
            send_copies(address, key);
    }

    void read(const std::string& address,
              const record_adoption::question& question)
    {
        const auto found = m_keepers.find(question.keeper);
        if (found == m_keepers.end())
            return;
        adoption& at = m_adoptions.at(address);
        std::vector<successor_candidate> candidates;
        for (const auto& [other, state] : m_keepers)
            candidates.push_back({other, state.born, 0});
        found->second.successors = successors_of(found->first, candidates);
        std::uint64_t last = question.after;
        const auto records = found->second.records.changes_after(last, 3);
        for (const auto& [key, known] : records)
            if (m_entries.at(address)->adopt(key, known, found->first,
                                             at.started_at))
                at.keepers.note_unplaced(key);
        at.keepers.note_reply(found->first, found->second.born, last,
                              records.size(), m_now);
    }

    void send_copies(const std::string& address, const stream_key& key)
    {
        origin_records& from = *m_entries.at(address);
        const auto* known = from.find(key, m_now);
        if (known == nullptr)
            return;
        for (const std::string& holder : from.take_new_holders(key))
            if (m_random.fraction() >= m_loss)
                m_copies.push_back({holder, key, *known});
    }

    void notice_losses()
    {
        for (const std::string& address : live_entries())
            for (const std::string& lost : m_unnoticed)
                m_entries.at(address)->note_lost(lost);
        m_unnoticed.clear();
    }

    /// The records of an entry or a record keeper; null if it does not run.
    origin_records* records_of(const std::string& address)
    {
        const auto keeper = m_keepers.find(address);
        if (keeper != m_keepers.end())
            return &keeper->second.records;
        const auto entry = m_entries.find(address);
        return entry == m_entries.end() ? nullptr : entry->second.get();
    }
    const origin_records* records_of(const std::string& address) const
    {
        return const_cast<stream_fleet*>(this)->records_of(address);
    }

    random_source m_random;
    instant m_now{1h};
    double m_loss = 0;
    std::map<std::string, std::unique_ptr<origin_records>> m_entries;
    std::map<std::string, adoption> m_adoptions; ///< By entry.
    std::map<std::string, keeper_process> m_keepers;
    std::uint64_t m_processes = 0; ///< Record keepers that were started.
    std::vector<stream> m_streams;
    std::vector<copy> m_copies;           ///< On their way.
    std::vector<std::string> m_unnoticed; ///< Losses.
};

} // namespace

// Guards against a stream that goes on at another version: whatever is lost,
// late or restarted, no entry finds a wrong origin.
TEST_CASE("no entry ever finds a wrong origin of a stream")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        stream_fleet fleet(seed, 2 + seed % 7, seed % 3 * 3);
        for (int step = 0; step < 150; ++step)
        {
            fleet.step(0.3);
            REQUIRE(fleet.wrong_origins() == 0);
        }
    }
}

// Guards against streams that are lost although only few entries were: one
// begins, and the entry where it began and any two others are killed at once.
TEST_CASE("a stream is found after three entries were killed at once")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        stream_fleet fleet(seed, 6);
        fleet.begin_stream();
        fleet.settle();
        fleet.kill(fleet.begun_at(0));
        fleet.kill(fleet.random_entry());
        fleet.kill(fleet.random_entry());
        CHECK(fleet.missing_streams() == 0); // Before the losses are noticed.
        fleet.settle();
        CHECK(fleet.missing_streams() == 0);
    }
}

// Guards against streams that end with a restart of all entries one after the
// other.
TEST_CASE("streams are found after all entries restarted in turn, twice")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        stream_fleet fleet(seed, 2 + seed % 9);
        for (int number = 0; number < 10; ++number)
            fleet.begin_stream();
        fleet.settle();
        for (int round = 0; round < 2; ++round)
            for (const std::string& address : fleet.live_entries())
            {
                fleet.kill(address);
                fleet.settle();
                CHECK(fleet.missing_streams() == 0);
                fleet.restart(address);
                fleet.settle();
                CHECK(fleet.missing_streams() == 0);
            }
    }
}

// Guards against an entry that comes back so soon that its loss is noticed
// only afterwards, and that is not sent its copies again.
TEST_CASE("an entry that restarted unnoticed is sent its copies again")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        stream_fleet fleet(seed, 3);
        fleet.begin_stream();
        fleet.settle();
        for (const std::string& address : fleet.live_entries())
        {
            fleet.kill(address);
            fleet.restart(address);
            fleet.settle();
        }
        CHECK(fleet.missing_streams() == 0);
    }
}

// Guards against streams that end when all entries are lost at once.
TEST_CASE("streams are found after all entries were lost at once")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        stream_fleet fleet(seed, 1 + seed % 9, 2 + seed % 12);
        for (int number = 0; number < 10; ++number)
            fleet.begin_stream();
        fleet.deliver();
        fleet.restart_all();
        fleet.settle();
        CHECK(fleet.missing_streams() == 0);
    }
}

// Guards against a record that is left at one record keeper only, and lost with
// it: the copies of a keeper that started again are sent once more.
TEST_CASE("streams outlive all entries, and all keepers one after the other")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        stream_fleet fleet(seed, 3, 6);
        for (int number = 0; number < 10; ++number)
            fleet.begin_stream();
        fleet.settle();
        for (int restart = 0; restart < 12; ++restart)
        {
            fleet.restart_keeper();
            CHECK(fleet.missing_streams() == 0);
            fleet.settle();
        }
        fleet.restart_keeper();
        fleet.restart_all();
        fleet.settle();
        CHECK(fleet.missing_streams() == 0);
    }
}

// Guards against streams that end with half of the entries, and then with the
// other half, before any loss is noticed.
TEST_CASE("streams are found after one half was lost, then the other")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        stream_fleet fleet(seed, 6, 4);
        for (int number = 0; number < 10; ++number)
            fleet.begin_stream();
        fleet.deliver();
        const auto entries = fleet.live_entries();
        for (std::size_t number = 0; number < entries.size(); ++number)
        {
            fleet.kill(entries[number]);
            fleet.restart(entries[number]);
            if (number == entries.size() / 2)
                fleet.maintain(entries.front());
        }
        fleet.settle();
        CHECK(fleet.missing_streams() == 0);
    }
}

// Guards against records without an owner: all entries are lost, and then the
// keepers leave one after the other, one of them unnoticed with the entries.
TEST_CASE("streams outlive all entries and then a release of keepers")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        stream_fleet fleet(seed, 1 + seed % 6, 8);
        for (int number = 0; number < 10; ++number)
            fleet.begin_stream();
        fleet.settle();
        fleet.restart_keeper();
        fleet.restart_all();
        fleet.settle();
        fleet.adopt();
        for (const std::string& address : fleet.keepers())
        {
            fleet.remove_keeper(address);
            fleet.start_keeper();
            CHECK(fleet.missing_streams() == 0);
            fleet.settle();
        }
        CHECK(fleet.missing_streams() == 0);
    }
}

// Guards against records that end with the keepers that a release stops while
// no entry runs.
TEST_CASE("streams outlive keepers that stop while no entry runs")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        stream_fleet fleet(seed, 3, 12);
        for (int number = 0; number < 10; ++number)
            fleet.begin_stream();
        fleet.settle();
        fleet.adopt();
        const auto entries = fleet.live_entries();
        for (const std::string& address : entries)
            fleet.kill(address);
        const auto keepers = fleet.keepers();
        for (std::size_t number = 0; number < keepers.size() / 2; ++number)
            fleet.stop_keeper(keepers[number]);
        for (const std::string& address : entries)
            fleet.restart(address);
        fleet.settle();
        fleet.adopt();
        CHECK(fleet.missing_streams() == 0);
    }
}

// Guards against records that lose their owners, while other entries run on.
TEST_CASE("streams outlive most entries and then a release of keepers")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        stream_fleet fleet(seed, 6, 8);
        for (int number = 0; number < 10; ++number)
            fleet.begin_stream();
        fleet.settle();
        for (int number = 0; number < 4; ++number)
            fleet.kill(fleet.random_entry());
        fleet.settle();
        fleet.adopt();
        for (const std::string& address : fleet.keepers())
        {
            fleet.remove_keeper(address);
            fleet.start_keeper();
            fleet.settle();
        }
        CHECK(fleet.missing_streams() == 0);
    }
}
