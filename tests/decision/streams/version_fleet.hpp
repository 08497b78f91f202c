#pragma once

#include "decision/random_source.hpp"
#include "decision/streams/version_answers.hpp"
#include "decision/streams/version_history.hpp"
#include "decision/streams/version_reports.hpp"

#include <algorithm>
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
};

struct tally
{
    int streams = 0; ///< That were taken up.
    int certain = 0; ///< Of these, with one version all the while.
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
/// tell of its versions. Callers take up streams without a name.
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
        m_listed.push_back({version, m_now, instant::max()});
    }

    void unlist(const std::string& version)
    {
        for (listing& known : m_listed)
            if (known.version == version)
                known.until = std::min(known.until, m_now);
    }

    void kill_entries()
    {
        for (entry& one : m_entries)
            one.is_up = false;
    }

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
            if (one.is_up && versions_at(one.listed_at).contains(version))
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

    /// Takes up each stream that still lives at a random entry.
    tally take_up()
    {
        tally found;
        std::erase_if(m_streams, [this](const stream& known)
                      { return known.began_at + lifetime <= m_now; });
        for (const stream& known : m_streams)
            if (entry& at = m_entries[m_random.below(m_entries.size())];
                at.is_up && !at.is_frozen &&
                known.began_at + m_given.max_lag < m_now)
                found += take_up(known, at);
        return found;
    }

private:
    struct listing
    {
        std::string version;
        instant since;
        instant until;
    };

    struct entry
    {
        bool is_up = false;
        bool is_frozen = false;
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
    };

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

    bool is_lost()
    {
        return m_are_keepers_cut ||
               m_random.fraction() < m_given.lost_datagrams;
    }

    void note(entry& at, const std::set<std::string>& versions) const
    {
        std::set<stream_origin> seen;
        for (const std::string& version : versions)
            seen.insert({service, version});
        at.history.note_versions(seen, m_now);
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
        one.history.note_gap(m_now);
        note(one, versions_at(m_now));
    }

    void follow_list(entry& one) const
    {
        const instant until = std::max(one.listed_at, m_now - one.lag);
        note(one, versions_between(one.listed_at, until));
        one.listed_at = until;
        one.history.note_up_to_date(until);
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
            report(*seen);
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
            if (!asked.is_up || !known || is_lost())
                continue;
            if (one.answers.note(std::to_string(number), *known,
                                 m_keepers.size(), one.history))
                one.questions = 10;
        }
    }

    void report(const version_observation& seen)
    {
        for (std::size_t number = 0; number < 3; ++number)
            if (keeper& to = m_keepers[number]; to.is_up && !is_lost())
                to.history.merge(seen);
    }

    void begin_stream(entry& at, const std::string& version)
    {
        const stream_origin origin{service, version};
        for (int copy = 0; copy < 2; ++copy)
            if (keeper& to = m_keepers[m_random.below(m_keepers.size())];
                to.is_up && !is_lost())
                to.history.note_stream(origin, m_now);
        at.history.note_stream(origin, m_now);
        const auto seen = at.history.observation();
        if (seen && at.reports.take_new(origin))
            report(*seen);
        m_streams.push_back({version, m_now});
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
            one.is_up = false;
            return;
        case 4:
            return kill_entries();
        case 5:
        case 6:
        case 7:
            return start_entries();
        case 8:
            one.is_frozen = !one.is_frozen;
            return;
        case 9:
            if (m_given.are_keepers_lost)
                other = {m_random.below(2) == 0, {}};
            return;
        case 10:
            other.is_up = true;
            return;
        case 11:
            if (m_given.is_history_lost && one.is_up && !one.is_frozen)
                read_list(one);
            return;
        default:
            if (!one.is_up || one.is_frozen)
                return;
            for (const std::string& at : versions_at(one.listed_at))
                return begin_stream(one, at);
        }
    }

    tally take_up(const stream& known, entry& at) const
    {
        const duration age = m_now - known.began_at;
        const auto answer = at.history.only_version(service, age, m_now);
        const bool is_certain =
            versions_between(known.began_at - 2s, m_now).size() == 1;
        return {1, is_certain ? 1 : 0, is_certain && answer ? 1 : 0,
                answer && *answer != known.version ? 1 : 0};
    }

    random_source m_random;
    troubles m_given;
    instant m_now = instant(1h);
    std::vector<listing> m_listed;
    std::vector<entry> m_entries;
    std::vector<keeper> m_keepers;
    std::vector<stream> m_streams;
    bool m_are_keepers_cut = false;
};

} // namespace mangofold::test
