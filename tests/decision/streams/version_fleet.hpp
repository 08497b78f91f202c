#pragma once

#include "decision/random_source.hpp"
#include "decision/streams/version_answers.hpp"
#include "decision/streams/version_history.hpp"
#include "decision/streams/version_reports.hpp"

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace mangofold::test
{

using namespace decision;
using namespace std::chrono_literals;

inline constexpr duration tick = 100ms;
inline constexpr duration lifetime = 15s;
inline const std::string service = "chat";

/// What goes wrong in a run.
struct troubles
{
    double lost_datagrams = 0;
    duration max_lag{}; ///< Of the lists of entries.
    bool are_keepers_lost = false;
    bool is_history_lost = false;
    bool are_lists_cut = false; ///< Entries do not reach the list at times.
    bool are_peers_cut = false; ///< Nor all other entries and record keepers.
    bool are_entries_lost = true;
    /// How long targets serve after they have left the list.
    duration serving_after_removal = version_history::interval;
};

struct tally
{
    int streams = 0; ///< That were taken up.
    int certain = 0; ///< Of these, with one version all the while, at entries
                     ///< that reach the list.
    int known = 0;   ///< Of those that are certain.
    int wrong = 0;

    tally& operator+=(const tally& other)
    {
        streams += other.streams;
        certain += other.certain;
        known += other.known;
        wrong += other.wrong;
        return *this;
    }
};

/// Simulates entries that follow a list of targets and record keepers that they
/// tell of its versions. Callers take up streams with and without a name.
class version_fleet
{
public:
    version_fleet(std::uint64_t seed, const troubles& given)
        : m_random(seed), m_given(given), m_entries(3), m_keepers(8)
    {
        list("v1");
        for (entry& one : m_entries)
            start(one);
    }

    void list(const std::string& version)
    {
        m_changed_at.push_back(m_now);
        m_listed.push_back(
            {version, m_now, instant::max(), m_changed_at.size()});
    }

    void unlist(const std::string& version)
    {
        m_changed_at.push_back(m_now);
        for (listing& known : m_listed)
            if (known.version == version)
                known.until = std::min(known.until, m_now);
    }

    void kill_entries()
    {
        for (entry& one : m_entries)
            one.is_up = false;
    }

    void kill_entry(std::size_t number) { m_entries[number].is_up = false; }

    void start_entries()
    {
        for (entry& one : m_entries)
            if (!one.is_up)
                start(one);
    }

    /// Whether datagrams reach no record keeper.
    void cut_keepers(bool are_cut) { m_are_keepers_cut = are_cut; }

    /// Has a stream begin at \a version, at the first entry that lists it.
    bool begin_stream(const std::string& version)
    {
        for (entry& one : m_entries)
            if (one.is_up && is_serving(version) &&
                versions_at(one.listed_at).contains(version))
            {
                begin_stream(one, version);
                return true;
            }
        return false;
    }

    void run_for(duration time)
    {
        const instant end = m_now + time;
        while (m_now < end)
        {
            m_now += tick;
            for (entry& one : m_entries)
                if (one.is_up)
                    maintain(one);
        }
    }

    /// Runs for \a time with random events.
    void disturb_for(duration time)
    {
        const instant end = m_now + time;
        while (m_now < end)
        {
            if (m_random.below(3) == 0)
                disturb();
            run_for(tick);
        }
    }

    /// Has an entry stand still, or reach no list, or no record keeper and no
    /// other entry; or ends that.
    void freeze(std::size_t number, bool is_frozen)
    {
        m_entries[number].is_frozen = is_frozen;
    }
    void cut_list(std::size_t number, bool is_cut)
    {
        m_entries[number].is_list_cut = is_cut;
    }
    void cut_peers(std::size_t number, bool is_cut)
    {
        m_entries[number].are_peers_cut = is_cut;
    }

    /// Takes up each stream that still lives at a random entry.
    tally take_up()
    {
        tally found;
        expire_streams();
        for (const stream& known : m_streams)
            if (entry& at = m_entries[m_random.below(m_entries.size())];
                at.is_up && !at.is_frozen)
                found += take_up(known, at);
        return found;
    }

    /// Takes up each stream that still lives at one entry.
    tally take_up_at(std::size_t number)
    {
        tally found;
        expire_streams();
        for (const stream& known : m_streams)
            found += take_up(known, m_entries[number]);
        return found;
    }

private:
    struct listing
    {
        std::string version;
        instant since;
        instant until;
        std::uint64_t revision; ///< Of the list, when it was written.
    };

    struct entry
    {
        bool is_up = false;
        bool is_frozen = false;
        bool is_list_cut = false;
        bool are_peers_cut = false;
        duration lag{};
        instant listed_at{}; ///< The list of this time is known.
        instant asked_at{};
        std::size_t questions = 0;
        version_history history;
        version_answers answers;
        version_reports reports;
    };

    struct keeper
    {
        bool is_up = true;
        version_history history;
    };

    struct stream
    {
        std::string version;
        instant began_at;
        bool is_named = false;
        std::vector<std::size_t> keepers; ///< That were sent its record.
    };

    void expire_streams()
    {
        std::erase_if(m_streams, [this](const stream& known)
                      { return known.began_at + lifetime <= m_now; });
    }

    std::set<std::string> versions_at(instant time) const
    {
        return versions_between(time, time);
    }

    std::set<std::string> versions_between(instant since, instant until) const
    {
        std::set<std::string> versions;
        for (const listing& known : m_listed)
            if (known.since <= until && known.until > since)
                versions.insert(known.version);
        return versions;
    }

    bool is_serving(const std::string& version) const
    {
        return versions_between(m_now - m_given.serving_after_removal, m_now)
            .contains(version);
    }

    bool is_lost(const entry& from)
    {
        return m_are_keepers_cut || from.are_peers_cut ||
               m_random.fraction() < m_given.lost_datagrams;
    }

    void note(entry& at, const std::set<std::string>& versions) const
    {
        std::set<stream_origin> seen;
        for (const std::string& version : versions)
            seen.insert({service, version});
        at.history.note_versions(seen, m_now);
    }

    /// Returns the revision of the list at \a time, as far as it has changed.
    std::uint64_t revision_at(instant time) const
    {
        const auto next = std::ranges::upper_bound(m_changed_at, time);
        return static_cast<std::uint64_t>(next - m_changed_at.begin());
    }

    /// Returns the versions that were listed after \a revision.
    std::set<stream_origin> written_after(std::uint64_t revision) const
    {
        std::set<stream_origin> written;
        for (const listing& known : m_listed)
            if (known.revision > revision)
                written.insert({service, known.version});
        return written;
    }

    void read_missed(entry& one) const
    {
        const auto unread = one.history.unread_after();
        if (!unread || one.is_list_cut)
            return;
        if (*unread < m_oldest_revision)
            one.history.note_unreadable(*unread);
        else
            one.history.note_read(*unread, written_after(*unread));
    }

    void start(entry& one)
    {
        one = {};
        one.is_up = true;
        one.lag = m_given.max_lag * static_cast<int>(m_random.below(5)) / 4;
        read_list(one);
    }

    void read_list(entry& one) const
    {
        one.listed_at = m_now;
        one.questions = 0;
        one.answers.clear();
        one.history.note_gap(m_now, revision_at(m_now));
        note(one, versions_at(m_now));
    }

    void follow_list(entry& one) const
    {
        follow_list(one, std::max(one.listed_at, m_now - one.lag));
    }

    void follow_list(entry& one, instant until) const
    {
        if (one.is_list_cut)
            return;
        note(one, versions_between(one.listed_at, until));
        one.listed_at = until;
        one.history.note_up_to_date(until, revision_at(until));
    }

    void maintain(entry& one)
    {
        if (one.is_frozen)
            return;
        exchange(one);
        follow_list(one);
    }

    void exchange(entry& one)
    {
        const auto seen = one.history.observation();
        if (!seen)
            return;
        if (one.questions < 10)
            return ask(one);
        if (one.reports.take_due(*seen, 1s, m_now))
            report(one, *seen);
    }

    void ask(entry& one)
    {
        if (m_now < one.asked_at + 200ms)
            return;
        one.asked_at = m_now;
        const std::size_t receivers =
            std::min<std::size_t>(m_keepers.size(), 3 + 2 * one.questions++);
        for (std::size_t number = 0; number < receivers; ++number)
        {
            const keeper& asked = m_keepers[number];
            const auto known = asked.history.observation();
            if (!asked.is_up || !known || is_lost(one))
                continue;
            if (one.answers.note(std::to_string(number), *known,
                                 m_keepers.size(), one.history))
                one.questions = 10;
            read_missed(one);
        }
    }

    void report(const entry& from, const version_observation& seen)
    {
        for (std::size_t number = 0; number < 3; ++number)
            if (keeper& to = m_keepers[number]; to.is_up && !is_lost(from))
                to.history.merge(seen);
    }

    void restart(keeper& one)
    {
        const auto number = static_cast<std::size_t>(&one - m_keepers.data());
        one = {m_random.below(2) == 0, {}};
        for (stream& known : m_streams)
            std::erase(known.keepers, number);
    }

    void begin_stream(entry& at, const std::string& version)
    {
        const stream_origin origin{service, version};
        stream begun{version, m_now, m_random.below(2) == 0, {}};
        for (int copy = 0; copy < 2; ++copy)
        {
            const std::size_t number = m_random.below(m_keepers.size());
            if (keeper& to = m_keepers[number]; to.is_up && !is_lost(at))
            {
                to.history.note_stream(origin, m_now);
                begun.keepers.push_back(number);
            }
        }
        at.history.note_stream(origin, m_now);
        const auto seen = at.history.observation();
        if (seen && at.reports.take_new(origin))
            report(at, *seen);
        m_streams.push_back(begun);
    }

    void disturb()
    {
        entry& one = m_entries[m_random.below(m_entries.size())];
        keeper& other = m_keepers[m_random.below(m_keepers.size())];
        const std::string version = "v" + std::to_string(m_random.below(3));
        switch (m_random.below(24))
        {
        case 0:
            return list(version);
        case 1:
        case 2:
            return unlist(version);
        case 3:
            if (m_given.are_entries_lost)
                one.is_up = false;
            return;
        case 4:
            if (m_given.are_entries_lost)
                kill_entries();
            return;
        case 5:
        case 6:
        case 7:
            return start_entries();
        case 8:
            one.is_frozen = !one.is_frozen;
            return;
        case 12:
            if (m_given.are_lists_cut)
                one.is_list_cut = !one.is_list_cut;
            return;
        case 13:
            if (m_given.are_peers_cut)
                one.are_peers_cut = !one.are_peers_cut;
            return;
        case 9:
            if (m_given.are_keepers_lost)
                restart(other);
            return;
        case 10:
            other.is_up = true;
            return;
        case 11:
            if (m_given.is_history_lost && one.is_up && !one.is_frozen &&
                !one.is_list_cut)
            {
                m_oldest_revision = revision_at(m_now);
                read_list(one);
            }
            return;
        default:
            if (!one.is_up || one.is_frozen)
                return;
            for (const std::string& at : versions_at(one.listed_at))
                if (is_serving(at))
                    return begin_stream(one, at);
        }
    }

    /// Returns the version that \a at takes for that of a stream, as
    /// serving::stream_registry does.
    std::optional<std::string> find_version(const stream& known, entry& at)
    {
        const duration age = m_now - known.began_at;
        for (const std::size_t number : known.keepers)
            if (known.is_named && m_keepers[number].is_up && !is_lost(at))
                return known.version;
        follow_list(at, m_now);
        if (const auto own = at.history.only_version(service, age, m_now))
            return own;
        for (const entry& other : m_entries)
        {
            if (&other == &at || !other.is_up || other.is_frozen ||
                other.are_peers_cut || at.are_peers_cut)
                continue;
            const auto seen =
                other.history.only_seen_version(service, age, m_now);
            if (seen &&
                at.history.confirms({*seen, other.history.up_to_date_at()},
                                    service, age, m_now))
                return seen;
        }
        return std::nullopt;
    }

    tally take_up(const stream& known, entry& at)
    {
        const auto answer = find_version(known, at);
        const bool is_certain =
            versions_between(known.began_at - 2s, m_now).size() == 1 &&
            !at.is_list_cut;
        return {1, is_certain ? 1 : 0, is_certain && answer ? 1 : 0,
                answer && *answer != known.version ? 1 : 0};
    }

    random_source m_random;
    troubles m_given;
    instant m_now = instant(1h);
    std::vector<listing> m_listed;
    std::vector<instant> m_changed_at; ///< By the revision of the list.
    std::vector<entry> m_entries;
    std::vector<keeper> m_keepers;
    std::vector<stream> m_streams;
    bool m_are_keepers_cut = false;
    std::uint64_t m_oldest_revision = 0; ///< Whose changes can be read.
};

/// Takes up streams between random events, in a run for each seed.
inline tally play(const troubles& given, std::uint64_t seeds)
{
    tally all;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        version_fleet simulated(seed, given);
        simulated.run_for(20s);
        for (int round = 0; round < 60; ++round)
        {
            simulated.disturb_for(1s);
            all += simulated.take_up();
        }
    }
    return all;
}

} // namespace mangofold::test
